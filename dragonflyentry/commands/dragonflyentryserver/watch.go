package dragonflyentryserver

import (
	"context"
	"expvar"
	"hash/fnv"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
)

const (
	watchCall = "/dragonfly.control/Watch"
	// watchPeriod is the time between two polls; three polls fit into the 3 s within
	// which a change must be in force.
	watchPeriod = dragonflyduration.Second
	// initialWatchPeriod is the time between two polls of an entry that does not know
	// the models yet. Together with the period in which a control instance asks the
	// leader, 0.5 s, it fits into the time that a request waits for a route.
	initialWatchPeriod = 250 * dragonflyduration.Millisecond
	// watchTimeout leaves time to poll a second instance within the period.
	watchTimeout = 400 * time.Millisecond
)

var (
	watches        = expvar.NewInt("dragonfly-entry-watches")
	watchErrors    = expvar.NewInt("dragonfly-entry-watch-errors")
	watchFailovers = expvar.NewInt("dragonfly-entry-watch-failovers")
)

// watcher polls control for a new routing table every watchPeriod, and more often until
// the entry knows the models. It keeps using one instance and fails over to the next one
// when that does not answer.
type watcher struct {
	entry   *entry
	current int
	clock   dragonflyclock.Clock
}

func (w *watcher) run(ctx context.Context) error {
	period := initialWatchPeriod
	t := time.NewTicker(time.Duration(period))
	defer t.Stop()
	for {
		w.poll(ctx)
		if period != watchPeriod && w.entry.routing.Load().KnowsModels() {
			period = watchPeriod
			t.Reset(time.Duration(period))
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// initialControl returns the index of the control instance that an entry polls
// first. The hash of its name spreads the entries over the n instances.
func initialControl(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

// poll fetches the table from the current instance or, if that fails, from each
// other one once, until one answers.
func (w *watcher) poll(ctx context.Context) {
	addrs := w.entry.settings.Control
	for range addrs {
		sentAt := w.clock.Now()
		t, err := w.fetch(ctx, addrs[w.current])
		if err == nil {
			watches.Add(1)
			w.deliver(ctx, t, sentAt)
			return
		}
		watchErrors.Add(1)
		if len(addrs) > 1 {
			watchFailovers.Add(1)
		}
		w.current = (w.current + 1) % len(addrs)
	}
}

func (w *watcher) fetch(ctx context.Context, addr string) (t dragonflytable.Table, err error) {
	routing := w.entry.routing.Load()
	raw, err := dragonflycodec.MarshalWatch(dragonflywatch.Watch{
		Entry: w.entry.settings.Name, ConfigVersion: routing.Config().Version(), Term: routing.Term(), Revision: routing.Revision(),
	})
	if err != nil {
		return t, err
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	res, err := w.entry.clients.get(addr).Call(ctx, watchCall, raw)
	if err != nil {
		return t, err
	}
	return dragonflycodec.UnmarshalTable(res)
}

func (w *watcher) deliver(ctx context.Context, t dragonflytable.Table, sentAt dragonflyinstant.Instant) {
	_ = w.entry.events.Put(ctx, input{ev: dragonflyentryevent.Event{Kind: dragonflyentryevent.ReceiveTable, Table: t, SentAt: sentAt}})
}
