// Package dragonflylogrecord defines a record of the log file.
package dragonflylogrecord

import "dragonflyrelay.example/library/values/dragonflylogentry"

// Record is the content that one synced write appends to the log file.
type Record struct {
	// Term and Vote are the instance's consensus term and the candidate that it
	// voted for in this term, "" if none.
	Term uint64
	Vote string
	// Entries are appended in order. An entry whose index is not above the last
	// one replaces that entry and removes all later ones.
	Entries []dragonflylogentry.Entry
}
