// Package dragonflyoccurrence defines an entry of the timeline.
package dragonflyoccurrence

// Occurrence is an event in one process, with the ids that correlate it with
// others. Empty ids are left out of the file.
type Occurrence struct {
	// At is the wall-clock time in nanoseconds since 1970.
	At int64
	// Process names the process, for example "entry-1".
	Process string
	// Event names the event in kebab case, for example "attempt-refused".
	Event string
	// Request is the request id.
	Request string
	// Group is the group id.
	Group uint64
	// Instance is the instance id.
	Instance string
	// Zone is the availability zone.
	Zone string
	// Change is the id of a configuration change.
	Change string
	// Detail is a short description in free text.
	Detail string
}
