package dragonflycontrolserver

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflylogstore"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"github.com/pkg/errors"
)

const (
	// joinInterval is the time between two join requests.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one join request.
	joinTimeout = 500 * time.Millisecond
	// joinRequestsPerLogLine limits logging to one in this many join requests.
	joinRequestsPerLogLine = 10
	// leaderlessTimeout is how long a member waits without a known leader before
	// it requests to join, since it may have been replaced while it was down. The
	// request of a member has no effect.
	leaderlessTimeout = 600 * time.Millisecond
)

// identityFile holds the member name of the instance in its first line, and the
// members before the first entry of the log in its second. It is written before
// the first vote.
const identityFile = "identity"

// identity returns the member name of the instance and the members before the
// first entry of the log. With fixed members, the settings name both. Otherwise an
// instance that starts with an empty disk has lost the votes and entries that it
// acknowledged. It gets a new name, so that it does not count as the member that it
// was, except at the first start of the deployment.
func identity(store *dragonflylogstore.Store, s dragonflycontrolsettings.Settings, now func() time.Time) (name string, first []string, err error) {
	defer func() { err = errors.WithMessage(err, "identity") }()
	if !s.AllowsMemberChanges() {
		return s.Instance, s.MemberNames(), nil
	}
	raw, err := os.ReadFile(filepath.Join(store.Dir, identityFile))
	if err == nil {
		lines := strings.Split(string(raw), "\n")
		return lines[0], strings.Fields(strings.Join(lines[1:], " ")), nil
	}
	if !os.IsNotExist(err) {
		return "", nil, err
	}
	name, first = s.Instance, s.FirstMembers()
	if !s.Bootstrap {
		name = dragonflyconsensus.Incarnation(s.Instance, strconv.FormatInt(now().UnixNano(), 36))
	}
	return name, first, store.WriteFile(identityFile, []byte(name+"\n"+strings.Join(first, " ")))
}

// join sends join requests, until ctx ends or the instance shuts down, while this instance is
// not a member or has known no leader for longer than leaderlessTimeout.
func (in *instance) join(ctx context.Context) error {
	timer := time.NewTicker(joinInterval)
	defer timer.Stop()
	var leaderless time.Duration
	for next := 0; ; next++ {
		c := in.consensusState.Load()
		if c.Leader() != "" {
			leaderless = 0
		} else {
			leaderless += joinInterval
		}
		if (!c.IsMember() || leaderless > leaderlessTimeout) && !in.draining.Load() {
			in.sendJoinRequest(ctx, next)
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendJoinRequest sends a join request to one of the known control instances.
// Successive values of next select them in turn.
func (in *instance) sendJoinRequest(ctx context.Context, next int) {
	// Members still send to an instance that has lost its disk, under its previous name.
	// Its seeds may all be gone.
	candidates := append(in.addresses(), in.peers.address(in.lastSender.Load()))
	for _, seed := range in.settings.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			candidates = append(candidates, in.peers.address(host))
		}
	}
	own := in.peers.address(in.name)
	addr := candidates[next%len(candidates)]
	if addr == own || addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err := in.peers.clientAt(addr).Call(ctx, rpcJoin, []byte(in.name))
	if next%joinRequestsPerLogLine == 0 {
		slog.Info("sent join request", "instance", in.name, "at", addr, "requests", next, "error", err)
	}
}

// joinCall receives the join request of an instance, and forwards it if another
// instance leads.
func (in *instance) joinCall(ctx context.Context, req []byte) (res []byte, err error) {
	c := in.consensusState.Load()
	if c.Leading() {
		return nil, in.consensus.In.Put(ctx, dragonflyconsensusevent.Event{
			Kind: dragonflyconsensusevent.Joined, Name: string(req),
		})
	}
	if c.Leader() == "" || c.Leader() == string(req) {
		return nil, errors.New("no leader is known")
	}
	client := in.peers.client(c.Leader())
	if client == nil {
		return nil, errors.New("the leader's address is not known")
	}
	return client.Call(ctx, rpcJoin, req)
}
