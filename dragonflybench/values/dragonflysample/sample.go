// Package dragonflysample is one reading of what a process has used.
package dragonflysample

// Sample is one reading. Counters run from the start of the process.
type Sample struct {
	// At is the wall-clock time in ns since 1970.
	At int64
	// Part names what the process runs, Size how many servers of it.
	Part string
	Size int
	// CPU is the processor time used, in ns.
	CPU int64
	// Resident and Heap are bytes of memory: of the process, and of live objects
	// and garbage not yet swept.
	Resident, Heap int64
	// Goroutines is the number of goroutines.
	Goroutines int
	// Calls counts received calls by name.
	Calls map[string]int64
	// BytesIn and BytesOut count the bytes of the counted connections, from and
	// to those who opened them, and Connections the connections.
	BytesIn, BytesOut, Connections int64
}
