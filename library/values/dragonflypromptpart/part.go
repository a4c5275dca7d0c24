// Package dragonflypromptpart defines what an entry reports of a part of a prompt that
// requests share.
package dragonflypromptpart

import "dragonflyrelay.example/library/common/dragonflyduration"

// Part is one shared part of a prompt, as one entry has seen it.
type Part struct {
	// ID identifies the part, or is the fingerprint of a whole request.
	ID string
	// Depth is the number of parts that precede it in the prompt.
	Depth int
	// SentAge is the time since a lost request was last sent.
	SentAge dragonflyduration.Duration
	// Served reports whether the entry has seen an answer to a request with the part,
	// the latest of them ServedAge ago.
	Served    bool
	ServedAge dragonflyduration.Duration
	// Wanted reports whether the entry has lately refused requests because of the part.
	Wanted bool
}
