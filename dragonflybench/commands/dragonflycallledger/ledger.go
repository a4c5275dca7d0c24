// Package dragonflycallledger counts the runs of calls to a plain service and
// decides how each call ends.
package dragonflycallledger

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflycallaction"
	"dragonflyrelay.example/dragonflybench/values/dragonflycallevent"
	"dragonflyrelay.example/dragonflybench/values/dragonflyservicesettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
)

// Ledger is the state of a plain service. The zero value has run no call.
type Ledger struct {
	calls, inFlight      int
	byRequest, byBody    dragonflymap.Map[string, int]
	delay                dragonflyduration.Duration
	failEvery, dropEvery int
}

// New returns an empty ledger with the delay and failures of cfg.
func New(cfg dragonflyservicesettings.Settings) Ledger {
	return Ledger{delay: cfg.Delay, failEvery: cfg.FailEvery, dropEvery: cfg.DropEvery}
}

// Calls returns the number of calls that have started to run.
func (l Ledger) Calls() int { return l.calls }

// InFlight returns the number of calls in progress.
func (l Ledger) InFlight() int { return l.inFlight }

// ByRequest returns the number of runs by request id.
func (l Ledger) ByRequest() dragonflymap.Map[string, int] { return l.byRequest }

// ByBody returns the number of runs by the SHA-256 of the body in hex.
func (l Ledger) ByBody() dragonflymap.Map[string, int] { return l.byBody }

// Step applies ev and returns the resulting actions.
func (l Ledger) Step(_ dragonflyinstant.Instant, ev dragonflycallevent.Event) (Ledger, []dragonflycallaction.Action) {
	switch ev.Kind {
	case dragonflycallevent.End:
		l.inFlight--
		return l, nil
	case dragonflycallevent.Fault:
		l.delay, l.failEvery, l.dropEvery = ev.Delay, ev.FailEvery, ev.DropEvery
		return l, nil
	}
	l.calls++
	l.inFlight++
	l.byRequest = counted(l.byRequest, ev.Request)
	l.byBody = counted(l.byBody, ev.Body)
	run, _ := l.byRequest.Get(ev.Request)
	a := dragonflycallaction.Action{Kind: dragonflycallaction.Answer, CallID: ev.CallID, Run: run, Delay: l.delay}
	switch {
	case l.dropEvery > 0 && l.calls%l.dropEvery == 0:
		a.Kind = dragonflycallaction.Drop
	case l.failEvery > 0 && l.calls%l.failEvery == 0:
		a.Kind = dragonflycallaction.Fail
	}
	return l, []dragonflycallaction.Action{a}
}

func counted(m dragonflymap.Map[string, int], key string) dragonflymap.Map[string, int] {
	n, _ := m.Get(key)
	return m.With(key, n+1)
}
