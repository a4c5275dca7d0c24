package dragonflycontrolserver

import (
	"context"
	"time"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
)

const (
	// diskWatchRingCapacity bounds the queued beginnings and ends of writes.
	diskWatchRingCapacity = 64
	// maxTimerDelay is the delay of a timer from which the process has stood still. A write
	// that was in progress meanwhile does not show that the disk stalls.
	maxTimerDelay = 600 * dragonflyduration.Millisecond
)

// diskWatchDuty reports writes that the disk has neither carried out nor refused for
// dragonflyconsensus.MaxWriteTime. The duty that writes cannot: it waits for the disk. Each
// item of in is the beginning or the end of a write, in turn.
type diskWatchDuty struct {
	in    *dragonflyring.Ring[dragonflyinstant.Instant]
	owner *instance
}

func newDiskWatchDuty(in *instance) *diskWatchDuty {
	return &diskWatchDuty{
		in: dragonflyring.New[dragonflyinstant.Instant]("disk-watch", diskWatchRingCapacity), owner: in,
	}
}

// Run watches one write after another until ctx ends.
func (d *diskWatchDuty) Run(ctx context.Context) error {
	for {
		began, err := d.in.Take(ctx)
		if err != nil {
			return err
		}
		if err := d.watch(ctx, began); err != nil {
			return err
		}
	}
}

// watch waits for the end of the write that began at the given time. It reports the write
// once if it stalls, and then its end.
func (d *diskWatchDuty) watch(ctx context.Context, began dragonflyinstant.Instant) error {
	due := began.Add(dragonflyconsensus.MaxWriteTime)
	timer := time.NewTimer(time.Duration(due.Sub(d.owner.clock.Now())))
	defer timer.Stop()
	stalled := false
	for {
		select {
		case ended := <-d.in.C():
			if stalled {
				d.report(diskAnswers, ended.Sub(began))
			}
			return nil
		case <-timer.C:
			now := d.owner.clock.Now()
			if now.Sub(due) > maxTimerDelay {
				due = now.Add(dragonflyconsensus.MaxWriteTime)
				timer.Reset(time.Duration(dragonflyconsensus.MaxWriteTime))
				continue
			}
			stalled = true
			d.report(diskStalled, now.Sub(began))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *diskWatchDuty) report(event string, took dragonflyduration.Duration) {
	reportStall(d.owner.settings.Instance, event, took)
	d.owner.timeline.Add(dragonflyoccurrence.Occurrence{Event: event})
}
