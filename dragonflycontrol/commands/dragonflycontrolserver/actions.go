package dragonflycontrolserver

import (
	"context"
	"fmt"
	"log/slog"

	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"dragonflyrelay.example/library/values/dragonflyresult"
)

// act executes an action of the consensus core. Apart from the persist ring, it
// blocks only on rings whose duties do not block on the consensus ring, so the
// duties cannot deadlock. The persist ring is never full, see persistRingCapacity.
func (in *instance) act(ctx context.Context, a dragonflyconsensusaction.Action) {
	switch a.Kind {
	case dragonflyconsensusaction.Persist:
		_ = in.persist.in.Put(ctx, a)
	case dragonflyconsensusaction.Send:
		in.peers.sender(a.Message.To).send(a.Message)
	case dragonflyconsensusaction.Apply, dragonflyconsensusaction.Restore, dragonflyconsensusaction.Confirm:
		_ = in.apply.in.Put(ctx, a)
	case dragonflyconsensusaction.Refuse:
		in.replies.answer(ctx, a.Request, dragonflyresult.Result{Outcome: dragonflyresult.NotRun, Message: "no leader is known"}, a.Leader)
	case dragonflyconsensusaction.Outdated:
		in.replies.answer(ctx, a.Request, dragonflyresult.Result{
			Outcome: dragonflyresult.Conflict, Message: "the zone may have been changed since the call arrived",
		}, "")
	case dragonflyconsensusaction.Abandon:
		in.replies.answer(ctx, a.Request, dragonflyresult.Result{
			Outcome: dragonflyresult.Unavailable, Message: "the leader lost its quorum before the change was committed",
		}, "")
	case dragonflyconsensusaction.Lead:
		elections.Add(in.settings.Instance, 1)
		in.handleLeaderChange(ctx, "leader-elected", a)
	case dragonflyconsensusaction.Follow:
		in.handleLeaderChange(ctx, "leader-changed", a)
	}
}

// handleLeaderChange logs a change of leader and passes it to the directory and
// fleet duties.
func (in *instance) handleLeaderChange(ctx context.Context, event string, a dragonflyconsensusaction.Action) {
	slog.Info(event, "instance", in.settings.Instance, "leader", a.Leader, "term", a.Term)
	in.timeline.Add(dragonflyoccurrence.Occurrence{
		Event: event, Instance: a.Leader, Detail: fmt.Sprintf("term %d", a.Term),
	})
	in.directory.setLeading(ctx, a.Kind == dragonflyconsensusaction.Lead, a.Term)
	in.fleet.setLeading(ctx, a.Kind == dragonflyconsensusaction.Lead, a.Term)
}
