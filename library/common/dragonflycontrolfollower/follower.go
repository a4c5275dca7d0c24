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
	// answerSlack is how long an answer may take beyond the wait that was asked
	// for. A live leader in another zone answers in a few milliseconds.
	answerSlack = 700 * time.Millisecond
	// searchPause is the time between two instances asked while none leads.
	searchPause = 100 * time.Millisecond
	// reseedMisses is the number of instances asked in vain between two looks at
	// the settings.
	reseedMisses = 8
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

	known   []string // addresses that control has told
	leader  string   // address to ask next
	next    int      // place in the list of candidates
	clients map[string]*dragonflyrpcclient.Client
	lost    bool // the leader does not answer
}

// Ask returns the leader's answer to q. It asks one instance after the other
// until the leader answers or ctx ends.
func (f *Follower) Ask(ctx context.Context, q dragonflyfollowrequest.Request) (n dragonflyfollowresponse.Response, err error) {
	raw, err := dragonflycodec.MarshalFollowRequest(q)
	if err != nil {
		return n, err
	}
	for {
		addr := f.candidate()
		n, err := f.ask(ctx, addr, raw, time.Duration(q.Wait)+answerSlack)
		if err == nil {
			f.learn(n)
		}
		if err == nil && n.Leads {
			f.found(addr)
			return n, nil
		}
		f.miss(addr, n, err)
		if ctx.Err() != nil {
			return n, ctx.Err()
		}
		if f.leader == "" && !pause(ctx, searchPause) {
			return n, ctx.Err()
		}
	}
}

func (f *Follower) candidate() string {
	if f.leader != "" {
		return f.leader
	}
	all := append(slices.Clone(f.known), f.Seeds...)
	f.next++
	return all[f.next%len(all)]
}

func (f *Follower) ask(ctx context.Context, addr string, raw []byte, timeout time.Duration) (n dragonflyfollowresponse.Response, err error) {
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

func (f *Follower) learn(n dragonflyfollowresponse.Response) {
	if len(n.Control) > 0 {
		f.known = n.Control
	}
}

func (f *Follower) found(addr string) {
	if f.leader != addr || f.lost {
		slog.Info("control found", "leader", addr)
	}
	f.leader, f.lost = addr, false
}

// miss turns to the leader that an instance has named, or else to the next
// instance.
func (f *Follower) miss(addr string, n dragonflyfollowresponse.Response, err error) {
	if !f.lost {
		f.lost = true
		slog.Warn("control lost", "asked", addr, "error", errorText(err))
	}
	f.leader = ""
	if f.Reseed != nil && f.next%reseedMisses == 0 {
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

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
