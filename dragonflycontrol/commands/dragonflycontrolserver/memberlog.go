package dragonflycontrolserver

import (
	"expvar"
	"log/slog"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflymemberset"
)

// leaderlessLogInterval is the time between two log lines of an instance that knows no
// leader. It is longer than an election.
const leaderlessLogInterval = 2 * dragonflyduration.Second

var leaderless = expvar.NewMap("dragonfly-control-leaderless")

// memberLog logs changes of the members, and why an instance knows no leader. Only the
// consensus duty uses it.
type memberLog struct {
	members  dragonflymemberset.MemberSet
	since    dragonflyinstant.Instant // when the instance has last known a leader
	loggedAt dragonflyinstant.Instant
}

// observe logs what is new in the state c of the instance at now.
func (l *memberLog) observe(now dragonflyinstant.Instant, c dragonflyconsensus.Consensus) {
	if m := c.MemberSet(); !m.Equal(l.members) {
		slog.Info("members-changed", "instance", c.Self(), "members", m.Names(), "outgoing", m.Outgoing(), "before", l.members.All(),
			"index", c.LastIndex(), "commit", c.Commit(), "leading", c.Leading())
		l.members = m
	}
	if c.Leader() != "" {
		if l.loggedAt != 0 {
			slog.Info("leader-known", "instance", c.Self(), "leader", c.Leader(), "term", c.Term(), "after-ms", now.Sub(l.since).Milliseconds())
		}
		l.since, l.loggedAt = now, 0
		set(leaderless, c.Self(), 0)
		return
	}
	if l.since == 0 {
		l.since = now
	}
	if now.Sub(max(l.since, l.loggedAt)) < leaderlessLogInterval {
		return
	}
	l.loggedAt = now
	set(leaderless, c.Self(), 1)
	r := c.LastRound()
	slog.Warn("no-leader", "instance", c.Self(), "ms", now.Sub(l.since).Milliseconds(), "term", c.Term(),
		"member", c.IsMember(), "members", c.MemberSet().Names(), "outgoing", c.MemberSet().Outgoing(), "granted", r.Granted, "refused", r.Refused,
		"index", c.LastIndex(), "commit", c.Commit(), "disk-failing", c.DiskFailing())
}
