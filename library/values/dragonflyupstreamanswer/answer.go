// Package dragonflyupstreamanswer defines the attributes of an upstream's
// answer that an entry reads from its header.
package dragonflyupstreamanswer

import "dragonflyrelay.example/library/common/dragonflyduration"

// Answer holds the attributes of one answer.
type Answer struct {
	// ID is the attempt that the answer belongs to.
	ID string
	// Status is the HTTP status.
	Status int
	// NotRun reports whether the upstream has not run the request and never will.
	NotRun bool
	// Unproven reports whether callers take the status as a statement that the request was
	// not run, which the upstream does not make.
	Unproven bool
	// Contradictory reports whether the header names more than one attempt, or denies with
	// the status of a request that was run that it was run.
	Contradictory bool
	// Sealed reports whether the answer carries a seal, the upstream's digest of its
	// response.
	Sealed bool
	// Encoded reports whether the answer has a Content-Encoding, so that its body is
	// not the upstream's own.
	Encoded bool
	// Limited reports whether the upstream names a limit, and Rate is the limit: the
	// requests a second that it takes from all entries together. LimitUnknown reports
	// that the limit cannot be read.
	Limited, LimitUnknown bool
	Rate                  float64
	// Misdirected reports that the request was meant for another upstream than the one
	// that answers.
	Misdirected bool
	// Leaving reports whether the upstream leaves.
	Leaving bool
	// Pause is the time from the arrival of a refusal for which the upstream wants no
	// request from this entry, 0 if it names none. PauseUnknown reports that it names one
	// that cannot be read.
	Pause        dragonflyduration.Duration
	PauseUnknown bool
}

// FromEndpoint reports whether the answer to the attempt id comes from the upstream that
// it was sent to, even if its content is damaged.
func (a Answer) FromEndpoint(id string) bool { return a.ID == id && !a.Misdirected }

// Genuine reports whether the answer is the upstream's own answer to the attempt id.
// Encoded and contradictory answers are not. A successful answer must be sealed; errors and answers to
// requests that were not run need no seal.
func (a Answer) Genuine(id string) bool {
	return a.ID == id && !a.Encoded && !a.Contradictory && (a.Sealed || a.NotRun || a.Status >= 300)
}
