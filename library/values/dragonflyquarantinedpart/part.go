// Package dragonflyquarantinedpart defines a part of a prompt whose requests are refused
// because they crash engines.
package dragonflyquarantinedpart

import "dragonflyrelay.example/library/common/dragonflyduration"

const (
	// MomentLength is the time within which crashes count as one: a common cause takes
	// the engines of a domain or a zone away together.
	MomentLength = 200 * dragonflyduration.Millisecond
	// ProbeInterval is the time from the quarantine of a part to the first probe.
	ProbeInterval = 15 * dragonflyduration.Second
	// RequestProbeInterval is the same for a request. It is held alone and seldom comes
	// again if it is sound, whereas each probe of a deadly one ends a server.
	RequestProbeInterval = 30 * dragonflyduration.Second
	// MaxProbeInterval bounds the time between two probes, which doubles with each crash.
	MaxProbeInterval = 5 * dragonflyduration.Minute
)

// Part is a quarantined part of a prompt, or a quarantined request.
type Part struct {
	// ID identifies the part, or is the fingerprint of the request.
	ID string
	// Since is the age of the first crash that it is suspected of. An answer to a
	// request with the part after that crash proves the suspicion wrong.
	Since dragonflyduration.Duration
	// ProbeIn is the time until a single request may probe the part, and Interval the
	// latest time between two probes.
	ProbeIn, Interval dragonflyduration.Duration
	// Crashes is the number of servers that have ended with it, the latest one LatestAge ago.
	// LimitAge is the age of the one with which it had to be known, the fifth or the third of a
	// request, if there was one. LateCrashes is the number of those after the quarantine had had
	// time to spread from there, and FailedProbes that of probes that have ended a server.
	Crashes, LateCrashes, FailedProbes int
	LimitAge, LatestAge                dragonflyduration.Duration
	// Exhausted reports that no further probe is permitted: only an answer to a request that was
	// sent before ends the quarantine.
	Exhausted bool
	// Grant identifies the permission to send one request with the part, which ends
	// after GrantLeft; it is 0 if the receiver has none.
	Grant     uint64
	GrantLeft dragonflyduration.Duration
}
