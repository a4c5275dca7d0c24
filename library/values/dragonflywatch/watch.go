// Package dragonflywatch is an entry's question for changes.
package dragonflywatch

// Watch asks control for what has changed. The zero Watch asks for everything.
type Watch struct {
	// Entry names the entry.
	Entry string
	// ConfigVersion is the configuration that the entry has in force.
	ConfigVersion uint64
	// Term and Revision name the table that the entry has.
	Term, Revision uint64
}
