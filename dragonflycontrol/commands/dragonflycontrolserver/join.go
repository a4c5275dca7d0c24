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
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"github.com/pkg/errors"
)

const (
	// joinInterval is the time between two requests to become a member.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one request.
	joinTimeout = 500 * time.Millisecond
	// joinRequestsPerLogLine is the number of requests for each line in the log.
	joinRequestsPerLogLine = 10
	// leaderlessTimeout is how long a member may know no leader before it asks to
	// join: others may have taken its place while it was away.
	leaderlessTimeout = 3 * time.Second
)

// identityFile holds the name under which the instance votes, and in its second
// line the members before the first entry of the log. It is written before the
// first vote.
const identityFile = "identity"

// identity returns the name under which the instance votes and the members before
// the first entry of the log. An instance that starts with an empty disk, but for
// the first start of the deployment, gets a new name: the votes and entries that
// it has acknowledged before are lost, so it must not count as the member that it
// was.
func identity(s dragonflycontrolsettings.Settings, now func() time.Time) (name string, first []string, err error) {
	defer func() { err = errors.WithMessage(err, "identity") }()
	if !s.AllowsMemberChanges() {
		return s.Instance, s.MemberNames(), nil
	}
	path := filepath.Join(s.DataFolder, identityFile)
	raw, err := os.ReadFile(path)
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
	if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
		return "", nil, err
	}
	return name, first, writeSynced(path, name+"\n"+strings.Join(first, " "))
}

// writeSynced writes a small file so that it survives a loss of power whole or
// not at all.
func writeSynced(path, text string) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), identityFile)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}

// join asks to become a member while this instance is none, until ctx ends.
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
		if !c.IsMember() || leaderless > leaderlessTimeout {
			in.sendJoinRequest(ctx, next)
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendJoinRequest asks one of the control instances that are known.
func (in *instance) sendJoinRequest(ctx context.Context, next int) {
	candidates := in.addresses()
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
		slog.Info("asked to join", "instance", in.name, "at", addr, "requests", next, "error", err)
	}
}

// joinCall takes the request of an instance to become a member, or passes it on
// to the leader.
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
