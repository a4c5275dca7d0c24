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
	// watchPeriod is the time between two watches; three of them fit into the
	// 3 s within which a change must be in force.
	watchPeriod = dragonflyduration.Second
	// watchTimeout leaves time to ask a second instance within the period.
	watchTimeout = 400 * time.Millisecond
)

var (
	watches        = expvar.NewInt("dragonfly-entry-watches")
	watchErrors    = expvar.NewInt("dragonfly-entry-watch-errors")
	watchFailovers = expvar.NewInt("dragonfly-entry-watch-failovers")
)

// watcher asks control for changes once a second. It stays with one instance
// and moves to the next one when that does not answer.
type watcher struct {
	entry   *entry
	current int
	clock   dragonflyclock.Clock
}

func (w *watcher) run(ctx context.Context) error {
	t := time.NewTicker(time.Duration(watchPeriod))
	defer t.Stop()
	for {
		w.poll(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// initialControl spreads the entries over n control instances by their names.
func initialControl(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

// poll asks the home instance and, if it fails, each other one once.
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
	view := w.entry.routing.Load()
	raw, err := dragonflycodec.MarshalWatch(dragonflywatch.Watch{
		Entry: w.entry.settings.Name, ConfigVersion: view.Config().Version(), Term: view.Term(), Revision: view.Revision(),
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
