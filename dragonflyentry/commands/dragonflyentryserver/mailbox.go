package dragonflyentryserver

import (
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
)

// update is the state of an answer that the route duty publishes to the handler
// of the request.
type update struct {
	tokens dragonflylist.List[string]
	// end is set once the answer has ended.
	end *dragonflyentryaction.Action
}

// mailbox passes an answer from the route duty to the handler of its request. The
// duty never waits for a slow caller: it publishes the latest state, and the
// handler reads it when it can. The length of the answer bounds the memory.
type mailbox struct {
	latest dragonflylatest.Latest[update]
	signal chan struct{} // has a buffer of 1; a value means that latest has changed
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (m *mailbox) put(u update) {
	m.latest.Store(u)
	select {
	case m.signal <- struct{}{}:
	default: // The previous signal is still pending; its receiver reads this state.
	}
}
