package dragonflylocalsystem

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflytable"
	"dragonflyrelay.example/library/values/dragonflywatch"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"github.com/pkg/errors"
)

// WorkspaceKey is the bearer key of the only workspace of a local system.
const WorkspaceKey = "local-key"

// retryInterval is the time between two calls to control while the system starts.
const retryInterval = 50 * time.Millisecond

// configure proposes the changes of the configuration one after another, each based
// on the version that the previous change made.
func (s *System) configure(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "configure") }()
	hash := sha256.Sum256([]byte(WorkspaceKey))
	changes := []dragonflychange.Change{
		{Kind: dragonflychange.SetGroupSize, GroupSize: s.Settings.GroupSize},
		{Kind: dragonflychange.SetClass, Class: dragonflyclass.Class{}.WithName("interactive").
			WithAnswered(990).WithComplete(1000).
			WithFirstToken(410 * dragonflyduration.Millisecond).WithGap(25 * dragonflyduration.Millisecond)},
		{Kind: dragonflychange.SetWorkspace, Workspace: dragonflyworkspace.Workspace{}.WithName("local").
			WithKeyHash(hex.EncodeToString(hash[:])).WithClass("interactive")},
	}
	if s.Settings.Service != "-" {
		changes = append(changes, dragonflychange.Change{
			Kind:    dragonflychange.SetService,
			Service: dragonflyservice.Service{}.WithName(s.Settings.Service).WithIdempotentMethods([]string{"GET", "HEAD"}),
		})
	}
	c := s.client()
	defer c.Close()
	var version uint64
	for i, ch := range changes {
		ch.ID = fmt.Sprintf("local-%d-%d", time.Now().UnixNano(), i)
		ch.Operator, ch.At, ch.Base = "local", time.Now().UnixNano(), version
		res, err := propose(ctx, c, ch)
		if err != nil {
			return err
		}
		version = res.Version
	}
	return nil
}

// propose sends ch until it is accepted. Until control has a leader, it answers
// that the change has not run. Retries are safe, because they have the same id.
func propose(ctx context.Context, c *dragonflyrpcclient.Client, ch dragonflychange.Change) (res dragonflyresult.Result, err error) {
	defer func() { err = errors.WithMessagef(err, "propose change %s", ch.ID) }()
	err = retry(ctx, func() (done bool, err error) {
		raw, err := dragonflycodec.MarshalChange(ch)
		if err != nil {
			return false, err
		}
		if raw, err = c.Call(ctx, "/dragonfly.control/Propose", raw); err != nil {
			return false, nil // Control is not reachable yet.
		}
		if res, err = dragonflycodec.UnmarshalResult(raw); err != nil {
			return false, err
		}
		switch res.Outcome {
		case dragonflyresult.Accepted:
			return true, nil
		case dragonflyresult.NotRun, dragonflyresult.Unavailable:
			return false, nil
		}
		return false, errors.Errorf("refused: %s", res.Message)
	})
	return res, err
}

// waitReady returns once every group and the service accept requests.
func (s *System) waitReady(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "wait for groups") }()
	want := len(s.Settings.Zones) * s.Settings.GroupsPerZone
	if s.Settings.Service != "-" {
		want++
	}
	c := s.client()
	defer c.Close()
	return retry(ctx, func() (done bool, err error) {
		table, err := fetchTable(ctx, c)
		if err != nil {
			return false, nil // Control is not reachable yet.
		}
		ready := 0
		for _, r := range table.Routes {
			if r.Ready {
				ready++
			}
		}
		return ready >= want, nil
	})
}

func fetchTable(ctx context.Context, c *dragonflyrpcclient.Client) (table dragonflytable.Table, err error) {
	raw, err := dragonflycodec.MarshalWatch(dragonflywatch.Watch{Entry: "local-system"})
	if err != nil {
		return table, err
	}
	if raw, err = c.Call(ctx, "/dragonfly.control/Watch", raw); err != nil {
		return table, err
	}
	return dragonflycodec.UnmarshalTable(raw)
}

// retry calls f every retryInterval until f is done or fails, or ctx ends.
func retry(ctx context.Context, f func() (done bool, err error)) error {
	t := time.NewTicker(retryInterval)
	defer t.Stop()
	for {
		done, err := f()
		if done || err != nil {
			return err
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *System) client() *dragonflyrpcclient.Client {
	return &dragonflyrpcclient.Client{Addr: s.control, Key: func() string { return internalKey }, Connections: 1}
}
