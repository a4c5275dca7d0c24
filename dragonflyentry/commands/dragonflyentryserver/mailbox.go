package dragonflyentryserver

import (
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
)

// update is the state of an answer as its caller's handler sees it.
type update struct {
	tokens dragonflylist.List[string]
	// end is set once the answer has ended.
	end *dragonflyentryaction.Action
}

// mailbox hands an answer from the route duty to the handler of its caller. The
// duty never waits for a slow caller: it publishes the newest state and the
// handler reads it when it can. The memory is bounded by the answer's length.
type mailbox struct {
	latest dragonflylatest.Latest[update]
	signal chan struct{} // holds one signal that there is news
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (m *mailbox) put(u update) {
	m.latest.Store(u)
	select {
	case m.signal <- struct{}{}:
	default: // The handler has not taken the last signal and will see this state.
	}
}
