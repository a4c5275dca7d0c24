// Package dragonflyrelay is what a following control instance tells the leader.
package dragonflyrelay

import (
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflywatch"
)

// Relay carries the reports that a follower received and asks for changes of the
// table. The answer is a table.
type Relay struct {
	// From names the follower.
	From string
	// Reports holds the latest report of each agent since the last relay.
	Reports []dragonflyreport.Report
	// Watch tells what the follower knows.
	Watch dragonflywatch.Watch
}
