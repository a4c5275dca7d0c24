// Package dragonflyupstreamanswer is what an entry must know of the head of an
// upstream's answer.
package dragonflyupstreamanswer

// Answer describes the head of an answer.
type Answer struct {
	// ID is the attempt that the answer belongs to.
	ID string
	// Status is the HTTP status.
	Status int
	// NotRun tells that the upstream has not run the request and never will.
	NotRun bool
	// Sealed tells that the upstream has signed the answer.
	Sealed bool
	// Encoded tells that the body is not the upstream's own.
	Encoded bool
}

// Genuine reports whether the answer is the upstream's answer to the attempt id.
func (a Answer) Genuine(id string) bool {
	return a.ID == id && !a.Encoded && (a.Sealed || a.NotRun || a.Status >= 300)
}
