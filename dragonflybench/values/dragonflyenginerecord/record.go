// Package dragonflyenginerecord records the runs of requests in an engine, so that a
// test can verify them.
package dragonflyenginerecord

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
)

// maxRuns is the number of ended runs that a record keeps; older ones are dropped and
// only counted.
const maxRuns = 20_000

// States of a run that did not break. The end of a run that broke is the reason.
const (
	EndCompleted = "whole"
	EndCancelled = "cancelled"
	EndRunning   = "running"
)

// run is one run of a request, or of the rest of a request that was resumed.
type run struct {
	// ID is the id of the request.
	ID string
	// Group and Fence are those that the engine held when the run started.
	Group, Fence uint64
	// From is the index of the first token of the run, Tokens the number of its tokens.
	From, Tokens int
	// Accepted is the start of the run. First and Last are the times of its first
	// and last token.
	Accepted, First, Last dragonflyinstant.Instant
	// End is one of the constants above, or the reason why the run broke.
	End string
}

// Record is an immutable record of runs. The zero value is empty.
type Record struct {
	active  dragonflymap.Map[string, run]
	ended   dragonflylist.List[run]
	dropped int
}

// WithAccepted returns the record after the start of a run.
func (r Record) WithAccepted(now dragonflyinstant.Instant, id string, group, fence uint64, from int) Record {
	r.active = r.active.With(id, run{ID: id, Group: group, Fence: fence, From: from, Accepted: now})
	return r
}

// WithToken returns the record after one token of the run id.
func (r Record) WithToken(now dragonflyinstant.Instant, id string) Record {
	a, ok := r.active.Get(id)
	if !ok {
		return r
	}
	if a.Tokens == 0 {
		a.First = now
	}
	a.Tokens, a.Last = a.Tokens+1, now
	r.active = r.active.With(id, a)
	return r
}

// WithEnd returns the record after the end of the run id.
func (r Record) WithEnd(id, end string) Record {
	a, ok := r.active.Get(id)
	if !ok {
		return r
	}
	a.End = end
	r.active = r.active.Without(id)
	r.ended = r.ended.With(a)
	if over := r.ended.Len() - maxRuns; over > 0 {
		r.ended = r.ended.Slice(over, r.ended.Len())
		r.dropped += over
	}
	return r
}

// Dropped returns the number of runs that were dropped.
func (r Record) Dropped() int { return r.dropped }

// Runs calls yield for each run, the ended ones first.
func (r Record) Runs(yield func(id string, group, fence uint64, from, tokens int, accepted, first, last dragonflyinstant.Instant, end string)) {
	for _, a := range r.ended.All() {
		yield(a.ID, a.Group, a.Fence, a.From, a.Tokens, a.Accepted, a.First, a.Last, a.End)
	}
	for _, a := range r.active.All() {
		yield(a.ID, a.Group, a.Fence, a.From, a.Tokens, a.Accepted, a.First, a.Last, EndRunning)
	}
}
