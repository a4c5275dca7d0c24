package dragonflycontrolserver

import (
	"expvar"
	"log/slog"
	"sync"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// readFailureLogInterval bounds the log lines of reads that fail: an operator repeats them.
const readFailureLogInterval = dragonflyduration.Second

var readsFailed = expvar.NewMap("dragonfly-control-reads-failed")

// readFailures logs why operators get no document. The zero value is ready to use.
type readFailures struct {
	mu       sync.Mutex
	count    int                      // guarded by mu
	loggedAt dragonflyinstant.Instant // guarded by mu
}

// add counts a read that failed at now with err at an instance in state c, and logs the first
// one of each readFailureLogInterval.
func (f *readFailures) add(now dragonflyinstant.Instant, c dragonflyconsensus.Consensus, err error) {
	readsFailed.Add(c.Self(), 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if f.loggedAt != 0 && now.Sub(f.loggedAt) < readFailureLogInterval {
		return
	}
	f.loggedAt = now
	slog.Warn("document-not-returned", "instance", c.Self(), "leader", c.Leader(), "leading", c.Leading(),
		"term", c.Term(), "reason", err.Error(), "failed", f.count)
}
