package dragonflycontrolserver

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflylogstore"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
)

// retryDelay is the time between attempts while writes to the disk fail.
const retryDelay = 500 * time.Millisecond

// slowWrite is the duration from which a write with its sync is logged. Elections and
// changes wait for writes.
const slowWrite = 250 * time.Millisecond

// maxBatchActions bounds the Persist actions that one sync covers.
const maxBatchActions = 256

// persistDuty owns the log store. It batches queued writes into one sync.
type persistDuty struct {
	in      *dragonflyring.Ring[dragonflyconsensusaction.Action]
	owner   *instance
	store   *dragonflylogstore.Store
	failing bool
}

func newPersistDuty(in *instance, store *dragonflylogstore.Store) *persistDuty {
	return &persistDuty{
		in:    dragonflyring.New[dragonflyconsensusaction.Action]("persist", persistRingCapacity),
		owner: in, store: store,
	}
}

// Run writes until ctx ends. It retries a failed write until it succeeds, and
// reports it as synced only then.
func (d *persistDuty) Run(ctx context.Context) error {
	var next *dragonflyconsensusaction.Action
	for {
		var batch []dragonflyconsensusaction.Action
		if next == nil {
			a, err := d.in.Take(ctx)
			if err != nil {
				return err
			}
			next = &a
		}
		batch, next = d.fillBatch(*next)
		if err := d.write(ctx, batch); err != nil {
			return err
		}
	}
}

// fillBatch returns a batch of a and the queued actions after it. A snapshot
// starts a new batch, so its action is returned as next.
func (d *persistDuty) fillBatch(a dragonflyconsensusaction.Action) (batch []dragonflyconsensusaction.Action, next *dragonflyconsensusaction.Action) {
	batch = append(batch, a)
	for len(batch) < maxBatchActions {
		select {
		case b := <-d.in.C():
			if b.HasSnapshot {
				return batch, &b
			}
			batch = append(batch, b)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// write writes the batch as one record and reports it as synced. A batch that
// starts with a snapshot replaces the old log.
func (d *persistDuty) write(ctx context.Context, batch []dragonflyconsensusaction.Action) (err error) {
	payload, err := dragonflycodec.MarshalRecord(joined(batch))
	if err != nil {
		return err
	}
	try := func() error { return d.store.Append(payload) }
	if batch[0].HasSnapshot {
		snapshot, err := dragonflycodec.MarshalSnapshot(batch[0].Snapshot)
		if err != nil {
			return err
		}
		try = func() error {
			err := d.store.Replace(snapshot, payload)
			if batch[0].Optional && isFull(err) {
				return d.postpone(err, batch[1:])
			}
			return err
		}
	}
	if err := d.writeWithRetry(ctx, try); err != nil {
		return err
	}
	return d.owner.consensus.In.Put(ctx, dragonflyconsensusevent.Event{
		Kind: dragonflyconsensusevent.Persisted, Sequence: batch[len(batch)-1].Sequence,
	})
}

// joined returns the record of all actions of the batch.
func joined(batch []dragonflyconsensusaction.Action) dragonflylogrecord.Record {
	record := batch[0].Record
	for _, a := range batch[1:] {
		entries := record.Entries[:len(record.Entries):len(record.Entries)]
		record = a.Record
		record.Entries = append(entries, a.Record.Entries...)
	}
	return record
}

// postpone keeps the stored log, since the disk refused an optional snapshot with the error
// full, and appends the actions that follow the snapshot to it. The next snapshot of the
// consensus core replaces both. All instances hold the same state, so that their disks may
// lack the room for a second copy at the same time.
func (d *persistDuty) postpone(full error, rest []dragonflyconsensusaction.Action) error {
	reportPostponed(d.owner.settings.Instance, full)
	if len(rest) == 0 {
		return nil
	}
	payload, err := dragonflycodec.MarshalRecord(joined(rest))
	if err != nil {
		return err
	}
	return d.store.Append(payload)
}

// writeWithRetry calls try until it succeeds or ctx ends. It reports each failure
// to the consensus core, and the beginning and the end of each attempt to the disk watch.
func (d *persistDuty) writeWithRetry(ctx context.Context, try func() error) error {
	for {
		began := d.owner.clock.Now()
		if err := d.owner.diskWatch.in.Put(ctx, began); err != nil {
			return err
		}
		err := d.attempt(try)
		ended := d.owner.clock.Now()
		if err := d.owner.diskWatch.in.Put(ctx, ended); err != nil {
			return err
		}
		if took := ended.Sub(began); took.Milliseconds() > slowWrite.Milliseconds() {
			slog.Warn("slow write", "instance", d.owner.settings.Instance, "ms", took.Milliseconds())
		}
		d.report(err)
		if err == nil {
			return nil
		}
		if err := d.owner.consensus.In.Put(ctx, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.PersistFailed}); err != nil {
			return err
		}
		if err := awaitRetry(ctx, retryDelay); err != nil {
			return err
		}
	}
}

// awaitRetry waits for delay. It returns the context's error if ctx ends first.
func awaitRetry(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attempt calls try and returns a panic as an error, so that the write is tried again.
func (d *persistDuty) attempt(try func() error) (err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if !d.failing {
			slog.Error("write panicked", "instance", d.owner.settings.Instance, "panic", v, "stack", string(debug.Stack()))
		}
		err = errors.Errorf("write panicked: %v", v)
	}()
	return try()
}

// report reports when writes start to fail and when they succeed again.
func (d *persistDuty) report(err error) {
	if (err != nil) == d.failing {
		return
	}
	d.failing = err != nil
	reportDisk(d.owner.settings.Instance, err)
	o := dragonflyoccurrence.Occurrence{Event: diskRecovered}
	if err != nil {
		o.Event, o.Detail = diskRefusesWrites, err.Error()
	}
	d.owner.timeline.Add(o)
}
