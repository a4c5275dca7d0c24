// Package dragonflyanswerverdict tells what to do with a piece of an answer.
package dragonflyanswerverdict

// kind tells what a Verdict asks for.
type kind uint8

// Kinds of verdicts.
const (
	// Drop ignores the piece: it belongs to another attempt or repeats a token.
	Drop kind = iota
	// Deliver passes the token on to the caller.
	Deliver
	// Finish ends the answer: it is whole.
	Finish
	// Retry gives the request to another route; nothing has run.
	Retry
	// Resume gives the rest of the request to another route, after Delivered.
	Resume
	// Fail ends the request without a whole answer.
	Fail
)

// Verdict is the decision on one piece.
type Verdict struct {
	// Kind tells what to do.
	Kind kind
	// Text is the token of Deliver.
	Text string
	// Reason is the reason of Retry, Resume and Fail.
	Reason string
	// Ran tells, for Fail, that the upstream may have run the request.
	Ran bool
}
