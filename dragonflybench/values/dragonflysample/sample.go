// Package dragonflysample holds one sample of the resource usage of a process.
package dragonflysample

// Sample is one sample. Counters start at 0 when the process starts.
type Sample struct {
	// At is the wall-clock time in ns since 1970.
	At int64
	// Part is the name of the part that the process runs, Size the number of its
	// servers.
	Part string
	Size int
	// CPU is the processor time used, in ns.
	CPU int64
	// Resident is the resident memory of the process in bytes. Heap is the memory in
	// bytes of live objects and of garbage that has not been swept yet.
	Resident, Heap int64
	// Goroutines is the number of goroutines.
	Goroutines int
	// Calls is the number of received calls by name.
	Calls map[string]int64
	// BytesIn and BytesOut are the bytes from and to the clients of the counted
	// connections, Connections is the number of these connections.
	BytesIn, BytesOut, Connections int64
}
