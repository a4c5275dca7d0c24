package dragonflyforwarder

import (
	"context"
	"time"

	"dragonflyrelay.example/library/common/dragonflycontrolfollower"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
)

// lossGatherTime is the time from a loss until it is reported. The other requests of the
// endpoint are lost within a few milliseconds.
const lossGatherTime = 30 * time.Millisecond

// reportLosses reports losses to control at once, until ctx ends. The long poll of
// followControl would delay them by up to followWait, and a part is judged by the losses of
// all entries.
func (s *Server) reportLosses(ctx context.Context) error {
	f := &dragonflycontrolfollower.Follower{Seeds: s.Settings.Control, Reseed: s.Reseed}
	reported := uint64(0)
	for {
		lost := s.parts.lost.Changed()
		if s.parts.latest.Load().Sequence() == reported {
			select {
			case <-lost:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		timer := time.NewTimer(lossGatherTime)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		v := s.view.Load()
		q := dragonflyfollowrequest.Request{Process: s.Settings.Name, Role: dragonflyfollowrequest.Entry, Version: v.document.Version()}
		q.Term, q.Revision, q.QuarantineRevision, q.LimitsRevision = v.term, v.revision, v.quarantineRevision, v.limitsRevision
		w := s.parts.latest.Load()
		q.Losses = w.Losses(s.Clock.Now(), reported)
		if _, err := f.Follow(ctx, q); err != nil {
			return err
		}
		reported = w.Sequence()
	}
}
