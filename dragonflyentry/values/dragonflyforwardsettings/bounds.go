package dragonflyforwardsettings

import "cmp"

const (
	// bodyShare is the inverse of the part of the memory that bodies and buffered responses
	// may take. The heap is bounded by half of the memory, and holds as much again until
	// it is collected.
	bodyShare = 4
	// minBodyMemory is the least memory for bodies in bytes, so that a single one of the
	// largest size, 4 MiB, has room beside the part that is kept for small ones.
	minBodyMemory = 8 << 20
	// unlimitedBodyMemory is the memory for bodies of an entry without a memory limit, in
	// bytes.
	unlimitedBodyMemory = 256 << 20
	// connectionBytes is the memory that the number of connections allows for each of them. A
	// head of the largest size with short lines takes 130 KB, and bodies need the rest.
	connectionBytes = 256 << 10
	// filesPerConnection is the number of descriptors for each connection of a caller: one
	// for the connection, and one for the upstream that serves it.
	filesPerConnection = 2
	// maxConnections bounds the connections of an entry without other limits.
	maxConnections = 16 << 10
)

// BodyBudget returns the memory for the bodies and buffered responses of all requests, in
// bytes.
func (s Settings) BodyBudget() int64 {
	if s.MemoryLimit == 0 {
		return cmp.Or(s.BodyMemory, unlimitedBodyMemory)
	}
	return cmp.Or(s.BodyMemory, max(s.MemoryLimit/bodyShare, minBodyMemory))
}

// MaxConnections returns the number of connections that callers may have open, in a process
// that may have so many descriptors.
func (s Settings) MaxConnections(descriptors int) int {
	if s.MaxFiles > 0 {
		descriptors = min(descriptors, s.MaxFiles)
	}
	n := min(descriptors/filesPerConnection, maxConnections)
	if s.MemoryLimit > 0 {
		n = min(n, int(s.MemoryLimit/connectionBytes))
	}
	return max(n, 1)
}
