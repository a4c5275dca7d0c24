package dragonflyfleet

import (
	"dragonflyrelay.example/library/commands/dragonflyheartbeatdelay"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyobservation"
)

// upstream is the state of one upstream.
type upstream struct {
	obs             dragonflyobservation.Observation
	stateSince      dragonflyinstant.Instant // of the state in obs
	heartbeatAt     dragonflyinstant.Instant // latest heartbeat
	heartbeatsSince dragonflyinstant.Instant // since when heartbeats have arrived without a gap of DownAfter
	heartbeatDelay  dragonflyheartbeatdelay.HeartbeatDelay
	agentReportAt   dragonflyinstant.Instant // latest report of the agent on its machine
	unreachable     bool                     // the agent on its machine cannot connect to it
	unreachableAt   dragonflyinstant.Instant // since when
	stillAt         dragonflyinstant.Instant // latest report of that
	refused         bool                     // no process listens at its address
	silent          bool                     // it accepts connections of that agent without answering
	silentAt        dragonflyinstant.Instant // since when
	silentReportAt  dragonflyinstant.Instant // latest report of that agent that it is silent
	reportingSince  dragonflyinstant.Instant // since when it has been reported on without a gap of AgentSilentAfter
	answeredAt      dragonflyinstant.Instant // latest answer that an entry has reported while control did not hear of it
	heldUntil       dragonflyinstant.Instant // time before which it may have left the group of a head at work
	heldGroup       string                   // name of that group, "" if only an earlier leader can have ordered it to leave
	stageModel      string                   // model whose weights are to be staged
	stagedAt        dragonflyinstant.Instant // when that was ordered
	warmModel       string                   // model of its latest ready group since it started
	standby         standby
	joinEpoch       uint64 // highest epoch of the groups that this leader has formed with it
}

// stalled reports whether u has been silent for longer than a sound upstream may be.
func (u upstream) stalled(now dragonflyinstant.Instant) bool {
	return u.silent && now.Sub(u.silentAt) >= StallTimeout
}

// groupReportAt returns when the membership of u was reported last. The agent's reports go
// before the heartbeats.
func (u upstream) groupReportAt() dragonflyinstant.Instant {
	if u.agentReportAt != 0 {
		return u.agentReportAt
	}
	return u.heartbeatAt
}

// standby is a group of a single spare that never opens. It warms up the spare, so
// that the spare can join a serving group of the model without delay.
type standby struct {
	name  string
	epoch uint64
	model string
}

// standbyPrefix is the name prefix of standby groups.
const standbyPrefix = "standby-"

func (u upstream) lastReportAt() dragonflyinstant.Instant {
	return max(u.heartbeatAt, u.agentReportAt, u.silentReportAt)
}
