// Package dragonflyrelay defines the message of a following control instance to the
// leader.
package dragonflyrelay

import (
	"dragonflyrelay.example/library/values/dragonflyreport"
	"dragonflyrelay.example/library/values/dragonflywatch"
)

// Relay carries the reports that a follower received and requests the changes of
// the routing table. The answer is a table.
type Relay struct {
	// From names the follower.
	From string
	// Reports holds the latest report of each agent since the last relay.
	Reports []dragonflyreport.Report
	// Watch identifies the configuration and the table that the follower has.
	Watch dragonflywatch.Watch
}
