// Package dragonflycontrolfollower asks the leading control instance, and finds
// it among the instances that are known.
package dragonflycontrolfollower

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"github.com/pkg/errors"
)

// rpcFollow is the name of the call.
const rpcFollow = "/dragonfly.control/Follow"

const (
	// responseMargin is how long an answer may take beyond the wait that was asked
	// for. A live leader in another zone answers in a few milliseconds.
	responseMargin = 700 * time.Millisecond
	// searchInterval is the time between two instances asked while none leads.
	searchInterval = 100 * time.Millisecond
	// failuresPerReseed is the number of instances asked in vain between two looks at
	// the settings.
	failuresPerReseed = 8
)

// Follower asks on behalf of one duty. Only one goroutine may use it. Seeds must
// be set.
type Follower struct {
	// Seeds are the addresses of control instances known at the start.
	Seeds []string
	// Key returns the internal key; nil sends none.
	Key func() string
	// Reseed returns the seeds of the settings as they are now. It is called
	// while no leader is found; nil keeps Seeds.
	Reseed func() []string

	known      []string // addresses that control has told
	leader     string   // address to ask next
	next       int      // place in the list of candidates
	clients    map[string]*dragonflyrpcclient.Client
	leaderLost bool // the leader does not answer
}

// Follow returns the leader's answer to q. It asks one instance after the other
// until the leader answers or ctx ends.
func (f *Follower) Follow(ctx context.Context, q dragonflyfollowrequest.Request) (n dragonflyfollowresponse.Response, err error) {
	raw, err := dragonflycodec.MarshalFollowRequest(q)
	if err != nil {
		return n, err
	}
	for {
		addr := f.nextAddr()
		n, err := f.call(ctx, addr, raw, time.Duration(q.Wait)+responseMargin)
		if err == nil {
			f.updateKnown(n)
		}
		if err == nil && n.Leads {
			f.setLeader(addr)
			return n, nil
		}
		f.handleFailure(addr, n, err)
		if ctx.Err() != nil {
			return n, ctx.Err()
		}
		if f.leader == "" && !sleep(ctx, searchInterval) {
			return n, ctx.Err()
		}
	}
}

func (f *Follower) nextAddr() string {
	if f.leader != "" {
		return f.leader
	}
	all := append(slices.Clone(f.known), f.Seeds...)
	f.next++
	return all[f.next%len(all)]
}

func (f *Follower) call(ctx context.Context, addr string, raw []byte, timeout time.Duration) (n dragonflyfollowresponse.Response, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if f.clients == nil {
		f.clients = map[string]*dragonflyrpcclient.Client{}
	}
	client, ok := f.clients[addr]
	if !ok {
		client = &dragonflyrpcclient.Client{Addr: addr, Key: f.Key, Connections: 1}
		f.clients[addr] = client
	}
	res, err := client.Call(ctx, rpcFollow, raw)
	if err != nil {
		// A connection that has gone silent would delay the next call as well.
		client.Close()
		delete(f.clients, addr)
		return n, err
	}
	return dragonflycodec.UnmarshalFollowResponse(res)
}

func (f *Follower) updateKnown(n dragonflyfollowresponse.Response) {
	if len(n.Control) > 0 {
		f.known = n.Control
	}
}

func (f *Follower) setLeader(addr string) {
	if f.leader != addr || f.leaderLost {
		slog.Info("control found", "leader", addr)
	}
	f.leader, f.leaderLost = addr, false
}

// handleFailure turns to the leader that an instance has named, or else to the next
// instance.
func (f *Follower) handleFailure(addr string, n dragonflyfollowresponse.Response, err error) {
	if !f.leaderLost {
		f.leaderLost = true
		slog.Warn("control lost", "asked", addr, "error", errorText(err))
	}
	f.leader = ""
	if f.Reseed != nil && f.next%failuresPerReseed == 0 {
		if seeds := f.Reseed(); len(seeds) > 0 {
			f.Seeds = seeds
		}
	}
	if err == nil && n.Leader != addr {
		f.leader = n.Leader
	}
}

func errorText(err error) string {
	if err == nil {
		return "it does not lead"
	}
	return errors.Cause(err).Error()
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
