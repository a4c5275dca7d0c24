// Package dragonflysilence distinguishes an upstream that may have stopped from a slow
// one by the time for which all its streams have had no events.
package dragonflysilence

import "dragonflyrelay.example/library/common/dragonflyduration"

// An engine writes to all streams of a batch in every iteration, so that all streams
// of a live engine are silent at the same time only while it prefills long prompts.
const (
	// manyStreams is the number of started streams from which the shorter timeout
	// applies.
	manyStreams        = 3
	manyStreamsTimeout = 400 * dragonflyduration.Millisecond
	fewStreamsTimeout  = 600 * dragonflyduration.Millisecond
	// firstEventTimeout applies while no stream has had its first event, because
	// requests may be queued at the engine.
	firstEventTimeout = 2 * dragonflyduration.Second
)

// Suspected reports whether an upstream may have stopped, if started of its streams
// have had events, waiting have had none, and the time since the last event of any
// stream is silence. It may also go on: its streams should move to another upstream if
// there is one, and stay otherwise.
func Suspected(started, waiting int, silence dragonflyduration.Duration) bool {
	switch {
	case started >= manyStreams:
		return silence > manyStreamsTimeout
	case started > 0:
		return silence > fewStreamsTimeout
	default:
		return waiting > 0 && silence > firstEventTimeout
	}
}
