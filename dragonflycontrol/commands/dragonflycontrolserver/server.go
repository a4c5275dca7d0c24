// Package dragonflycontrolserver runs one control instance: duties around the
// consensus, cluster, directory and fleet cores, connected by rings.
package dragonflycontrolserver

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"time"

	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/common/dragonflylogstore"
	"dragonflyrelay.example/library/common/dragonflyoperations"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcserver"
	"dragonflyrelay.example/library/common/dragonflytimelinefile"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflydocument"
	"github.com/pkg/errors"
)

// Timeouts of the shutdown.
const (
	// drainTimeout bounds the wait for proposals in progress.
	drainTimeout = 3 * time.Second
	// handoverTimeout bounds how long a leader waits for another one to lead.
	handoverTimeout = time.Second
	// stopTimeout bounds the wait for the duties to end.
	stopTimeout = 3 * time.Second
)

// Server is one control instance. Fields are set before Run and not changed
// afterwards; only Settings must be set.
type Server struct {
	Settings dragonflycontrolsettings.Settings
	// Listening, if not nil, is called with the bound addresses for calls and for
	// the health pages once both accept connections.
	Listening func(calls, debug net.Addr)
	// Listen replaces net.Listen if it is not nil. It allows a program that runs
	// several instances to bind all ports before it starts the first.
	Listen func(network, address string) (net.Listener, error)
	// Write, Sync, Truncate and Rename replace the operations on files of the data
	// folder if they are not nil.
	Write    func(f *os.File, p []byte) (n int, err error)
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error
	// OpenTimeline replaces os.OpenFile for the file of the timeline if it is not nil.
	OpenTimeline func(name string, flag int, mode os.FileMode) (*os.File, error)
	// Decode decodes a routing document. It is nil if there are no documents.
	Decode func(content []byte) (d dragonflydocument.Document, err error)
	// Operator serves the calls of operators and upstreams on l until ctx ends;
	// nil serves none.
	Operator func(ctx context.Context, l net.Listener, ops dragonflyoperations.Operations) error
	// MaxSenders bounds the peers to which consensus messages are sent at a time, and SenderIdle
	// is the time without a message after which a sender ends; 0 stands for the defaults.
	MaxSenders int
	SenderIdle time.Duration
	// Clock is the local clock of the instance.
	Clock dragonflyclock.Clock
}

// Run serves until ctx ends, and then shuts down: the instance stops being ready,
// rejects new proposals with not-run, waits for those in progress, asks to be replaced
// as a member, and hands over if it leads. It returns nil after a shutdown, and an error if
// the instance cannot start or a listener fails.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessagef(err, "control instance %s", s.Settings.Instance) }()
	if err := s.Settings.Check(); err != nil {
		return err
	}
	store := &dragonflylogstore.Store{
		Dir: s.Settings.DataFolder, Write: s.Write, Sync: s.Sync, Truncate: s.Truncate, Rename: s.Rename,
	}
	restored, err := s.restore(ctx, store)
	if err != nil && ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	calls, debug, err := s.listen()
	if err != nil {
		return err
	}
	events := s.timelineFile()
	if err := events.Open(); err != nil {
		_ = calls.Close()
		_ = debug.Close()
		return err
	}
	defer func() { _ = events.Close() }()

	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	in := newInstance(s, restored, store)
	if !s.Settings.WithoutKey {
		if err := in.key.Load(); err != nil {
			return err
		}
	}
	if err := in.start(inner, cancel, calls, debug, events); err != nil {
		return err
	}
	if err := s.startOperator(inner, cancel, in); err != nil {
		return err
	}
	if s.Listening != nil {
		s.Listening(calls.Addr(), debug.Addr())
	}
	slog.Info("control instance started", "instance", s.Settings.Instance, "zone", s.Settings.Zone, "member", restored.Self(), "calls", calls.Addr().String(),
		"term", restored.Term(), "index", restored.LastIndex(), "members", restored.Members())
	select {
	case <-ctx.Done():
		in.drain(inner)
		in.leave(inner)
		in.handOver(inner)
		cancel(nil)
	case <-inner.Done():
		err = context.Cause(inner)
	}
	wait, stop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer stop()
	for _, pool := range []*dragonflypool.Pool{&in.pool, &in.peers.pool} {
		if e := pool.Wait(wait); e != nil && err == nil {
			err = errors.WithMessage(e, "wait for duties to end")
		}
	}
	slog.Info("control instance stopped", "instance", s.Settings.Instance)
	return err
}

// listen binds the addresses for calls and for the health pages.
func (s *Server) listen() (calls, debug net.Listener, err error) {
	listen := s.Listen
	if listen == nil {
		listen = net.Listen
	}
	calls, err = listen("tcp", s.Settings.Listen)
	if err != nil {
		return nil, nil, err
	}
	debug, err = listen("tcp", s.Settings.DebugListen)
	if err != nil {
		_ = calls.Close()
		return nil, nil, err
	}
	return calls, debug, nil
}

// timelineFile returns the file for events. Without a path, events are discarded.
func (s *Server) timelineFile() *dragonflytimelinefile.File {
	f := &dragonflytimelinefile.File{Path: s.Settings.Timeline, Mode: 0o600, OpenFile: s.OpenTimeline}
	if f.Path == "" {
		f.Path = os.DevNull
	}
	return f
}

// start starts all duties. If one of them fails later, cancel is called with the error. The
// timeline is an exception: changes do not need it.
func (in *instance) start(ctx context.Context, cancel context.CancelCauseFunc, calls, debug net.Listener, events io.Writer) (err error) {
	rpc := &dragonflyrpcserver.Server{
		Unary: in.unary(), Streams: in.streams(), Pool: &in.rpcPool, Key: in.keySource(),
	}
	pages := &dragonflydebugserver.Server{Ready: in.ready}
	duties := map[string]func(context.Context) error{
		"replies":     in.replies.Run,
		"persist":     in.persist.Run,
		"disk-watch":  in.diskWatch.Run,
		"apply":       in.apply.Run,
		"directory":   in.directory.Run,
		"fleet":       in.fleet.Run,
		"withdrawals": in.withdrawals.Run,
		"openings":    in.openings.Run,
		"records":     in.records.Run,
		"relay":       in.relay.Run,
		"consensus":   in.consensus.Run,
		"calls":       func(ctx context.Context) error { return rpc.Serve(ctx, calls) },
		"pages":       func(ctx context.Context) error { return pages.Serve(ctx, debug) },
	}
	if in.settings.AllowsMemberChanges() {
		duties["join"] = in.join
	}
	in.peers.start(ctx, cancel)
	for name, duty := range duties {
		if err := in.pool.Start(ctx, name, essential(cancel, name, duty)); err != nil {
			return err
		}
	}
	return in.pool.Start(ctx, "timeline", func(ctx context.Context) error { return in.timeline.Run(ctx, events) })
}

// drain rejects new proposals and waits for those in progress, for at most
// drainTimeout.
func (in *instance) drain(ctx context.Context) {
	in.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	done := make(chan struct{})
	if in.replies.in.Put(ctx, replyEvent{kind: drainReplies, drained: done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
		slog.Warn("drain timeout reached with proposals in progress", "instance", in.settings.Instance)
	}
}

// handOver transfers leadership to another instance, so that the shutdown costs no
// election timeout. It waits until the next leader has a quorum: this instance counts
// towards it.
func (in *instance) handOver(ctx context.Context) {
	if !in.consensusState.Load().Leading() || len(in.consensusState.Load().Members()) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if in.consensus.In.Put(ctx, dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Resign}) != nil {
		return
	}
	select {
	case <-in.newLeader:
	case <-ctx.Done():
	}
}
