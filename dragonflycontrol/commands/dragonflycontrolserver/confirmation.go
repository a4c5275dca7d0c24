package dragonflycontrolserver

import (
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyconfig"
)

const (
	// maxConfirmationAge is the confirmation age above which agents refuse new work.
	maxConfirmationAge = 3 * dragonflyduration.Second
	// neverConfirmed is the age reported before the first confirmation by a
	// quorum. It is short enough that receivers can add to it without overflow.
	neverConfirmed = 24 * dragonflyduration.Hour
	// maxClockSkew bounds the difference between the wall clocks of a proposer
	// and of the control instance. Claims expire by the proposers' timestamps, so
	// a single clock far ahead would expire the claims of every proposer.
	maxClockSkew = 5 * time.Minute
)

// confirmationAge returns the time since the leader last had a quorum, as far as
// this instance knows.
func (in *instance) confirmationAge() dragonflyduration.Duration {
	at := max(in.applied.Load().confirmed, in.relayed.Load().confirmed)
	if at == 0 {
		return neverConfirmed
	}
	return max(0, in.clock.Now().Sub(at))
}

// config returns the newest configuration known to this instance: the applied one
// or the one pulled from the leader, which may be newer.
func (in *instance) config() dragonflyconfig.Config {
	own, pulled := in.applied.Load().cluster.Config(), in.relayed.Load().config
	if pulled.Version() > own.Version() {
		return pulled
	}
	return own
}
