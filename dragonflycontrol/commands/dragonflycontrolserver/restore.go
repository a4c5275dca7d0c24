package dragonflycontrolserver

import (
	"context"
	"time"

	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflylogstore"
)

// restore returns the consensus state restored from the data folder. While the disk is
// full, it tries again: a process that ended might not be started again, or with settings
// in which the deployment exists already. Any other error is returned.
func (s *Server) restore(ctx context.Context, store *dragonflylogstore.Store) (c dragonflyconsensus.Consensus, err error) {
	for waiting := false; ; waiting = true {
		c, err = s.tryRestore(store)
		full := isFull(err)
		switch {
		case full && !waiting:
			reportDisk(s.Settings.Instance, err)
		case err == nil && waiting:
			reportDisk(s.Settings.Instance, nil)
		}
		if !full {
			return c, err
		}
		if err := awaitRetry(ctx, retryDelay); err != nil {
			return c, err
		}
	}
}

func (s *Server) tryRestore(store *dragonflylogstore.Store) (c dragonflyconsensus.Consensus, err error) {
	name, first, err := identity(store, s.Settings, time.Now)
	if err != nil {
		return c, err
	}
	return open(store, s.Settings, name, first)
}
