// Package dragonflyanswerverdict defines the decision on one frame of an answer.
package dragonflyanswerverdict

// kind is the type of a verdict.
type kind uint8

// Kinds of verdicts.
const (
	// Drop ignores the frame: it belongs to another attempt or repeats a token.
	Drop kind = iota
	// Deliver forwards the token to the caller.
	Deliver
	// Finish ends the answer, which is complete.
	Finish
	// Retry sends the request to another route; the upstream has not run it.
	Retry
	// Resume continues the request on another route after the tokens already
	// delivered.
	Resume
	// Fail ends the request with an incomplete answer or none.
	Fail
)

// Verdict is the decision on one frame.
type Verdict struct {
	// Kind is the type of the verdict.
	Kind kind
	// Text is the token of Deliver.
	Text string
	// Reason is the cause of Retry, Resume and Fail.
	Reason string
	// MayHaveRun reports, for Fail, whether the upstream may have run the request.
	MayHaveRun bool
}
