// Package dragonflysilence tells an upstream that has stopped from a slow one, by
// how long all its streams have been silent together.
package dragonflysilence

import "dragonflyrelay.example/library/common/dragonflyduration"

// Engines write to all streams of a batch in every pass, so streams of a live
// engine are silent together only while it reads long prompts.
const (
	// manyStreams is the number of streams from which a short silence tells.
	manyStreams        = 3
	manyStreamsTimeout = 400 * dragonflyduration.Millisecond
	fewStreamsTimeout  = 600 * dragonflyduration.Millisecond
	// firstEventTimeout holds while no stream has had its first event: requests may
	// wait at the engine.
	firstEventTimeout = 2 * dragonflyduration.Second
)

// Stopped reports whether an upstream counts as stopped: begun of its streams
// have had events, waiting have not, and none has had one for quiet.
func Stopped(begun, waiting int, quiet dragonflyduration.Duration) bool {
	switch {
	case begun >= manyStreams:
		return quiet > manyStreamsTimeout
	case begun > 0:
		return quiet > fewStreamsTimeout
	default:
		return waiting > 0 && quiet > firstEventTimeout
	}
}
