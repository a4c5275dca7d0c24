// Package dragonflywatch defines an entry's request for changes.
package dragonflywatch

// Watch requests the changes since a table and a configuration from control. The
// zero Watch requests the complete state.
type Watch struct {
	// Entry names the entry.
	Entry string
	// ConfigVersion is the version of the entry's configuration.
	ConfigVersion uint64
	// Term and Revision identify the entry's routing table.
	Term, Revision uint64
}
