// Package dragonflycontrolfollower sends requests to the leading control
// instance, which it finds among the known instances.
package dragonflycontrolfollower

import (
	"context"
	"log/slog"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/queries/dragonflycontrolsearch"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	"github.com/pkg/errors"
)

// rpcFollow is the name of the remote call.
const rpcFollow = "/dragonfly.control/Follow"

const (
	// responseMargin is the time that a response may take beyond the requested
	// wait. A live leader in another zone responds within a few milliseconds.
	responseMargin = 700 * time.Millisecond
	// searchInterval is the time between two attempts while no leader is known.
	searchInterval = 100 * time.Millisecond
	// failuresPerReseed is the number of instances that are tried without success
	// between two reads of the settings.
	failuresPerReseed = 8
	// earlierLeaderTime is how long after the latest response of a leader a response of an
	// earlier term is not taken. A leader whose quorum has not confirmed it for 3 s does not
	// respond as one. A deployment that has lost all its disks begins with the first term.
	earlierLeaderTime = 10 * dragonflyduration.Second
)

// Follower sends the Follow requests of one duty. Only one goroutine may use it.
// Seeds must be set.
type Follower struct {
	// Seeds are the control addresses to try besides those that control lists.
	Seeds []string
	// Key returns the internal key; nil sends none.
	Key func() string
	// Reseed returns the seeds that the settings currently name. It is called
	// while no leader is found; nil keeps Seeds.
	Reseed func() []string
	// Renew returns the request as it is to be sent at present. It is called before each
	// attempt but the first, since ages in the request grow while no leader is found;
	// nil repeats the request.
	Renew func() dragonflyfollowrequest.Request
	// NotLeading is called with each response of an instance that does not lead and its
	// address; it may be nil.
	NotLeading func(ctx context.Context, addr string, resp dragonflyfollowresponse.Response)
	Clock      dragonflyclock.Clock

	known      []string // addresses from the latest response that lists any
	leader     string   // address to try next; empty if unknown
	search     dragonflycontrolsearch.Search
	clients    map[string]*dragonflyrpcclient.Client
	leaderLost bool // the last attempt failed or reached no leader

	// Term is that of the latest response of a leader, which arrived at respondedAt.
	term        uint64
	respondedAt dragonflyinstant.Instant
}

// Follow sends req to the leader and returns its response. It tries one instance
// after the other until the leader responds or ctx ends.
func (f *Follower) Follow(ctx context.Context, req dragonflyfollowrequest.Request) (resp dragonflyfollowresponse.Response, err error) {
	for {
		addr, limit := f.leader, time.Duration(req.Wait)+responseMargin
		if f.leader == "" || f.leaderLost {
			// Only a leader holds a response back, and one that is not known is to be found soon.
			req.Wait = 0
			addr, limit = f.nextAddr()
		}
		resp, err := f.call(ctx, addr, req, limit)
		if err == nil {
			f.updateKnown(resp)
			resp = f.withoutEarlierLead(resp)
		}
		if err == nil && resp.Leads {
			f.setLeader(addr)
			f.term, f.respondedAt = resp.Term, f.Clock.Now()
			return resp, nil
		}
		if err == nil && f.NotLeading != nil {
			f.NotLeading(ctx, addr, resp)
		}
		f.handleFailure(addr, resp, err)
		if ctx.Err() != nil {
			return resp, ctx.Err()
		}
		if f.leader == "" && !sleep(ctx, searchInterval) {
			return resp, ctx.Err()
		}
		if f.Renew != nil {
			req = f.Renew()
		}
	}
}

// nextAddr returns the address and the time limit of the next call of a search.
func (f *Follower) nextAddr() (addr string, limit time.Duration) {
	s, addr, d := f.search.Next(f.known, f.Seeds, f.leader)
	f.search = s
	return addr, time.Duration(d)
}

func (f *Follower) call(ctx context.Context, addr string, req dragonflyfollowrequest.Request, timeout time.Duration) (resp dragonflyfollowresponse.Response, err error) {
	payload, err := dragonflycodec.MarshalFollowRequest(req)
	if err != nil {
		return resp, err
	}
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
	raw, err := client.Call(ctx, rpcFollow, payload)
	if err != nil {
		// A connection that no longer responds would delay the next call as well.
		client.Close()
		delete(f.clients, addr)
		return resp, err
	}
	return dragonflycodec.UnmarshalFollowResponse(raw)
}

// withoutEarlierLead returns resp as that of an instance that does not lead if it does so in
// an earlier term: the instance does not know yet that another one has replaced it.
func (f *Follower) withoutEarlierLead(resp dragonflyfollowresponse.Response) dragonflyfollowresponse.Response {
	if resp.Leads && resp.Term != 0 && resp.Term < f.term && f.Clock.Now().Sub(f.respondedAt) < earlierLeaderTime {
		resp.Leads, resp.Leader = false, ""
	}
	return resp
}

func (f *Follower) updateKnown(resp dragonflyfollowresponse.Response) {
	if len(resp.Control) > 0 {
		f.known = resp.Control
	}
}

func (f *Follower) setLeader(addr string) {
	if f.leader != addr || f.leaderLost {
		slog.Info("control found", "leader", addr)
	}
	f.leader, f.leaderLost, f.search = addr, false, f.search.WithLeader()
}

// handleFailure selects the leader that the instance at addr has named, or else
// the next instance. A nil err means that the instance responded but doesn't lead.
func (f *Follower) handleFailure(addr string, resp dragonflyfollowresponse.Response, err error) {
	if !f.leaderLost {
		f.leaderLost = true
		slog.Warn("control lost", "asked", addr, "error", errorText(err))
	}
	f.leader = ""
	if n := f.search.Asked(); f.Reseed != nil && n > 0 && n%failuresPerReseed == 0 {
		if seeds := f.Reseed(); len(seeds) > 0 {
			f.Seeds = seeds
		}
	}
	if err == nil && resp.Leader != addr {
		f.leader = resp.Leader
	}
}

func errorText(err error) string {
	if err == nil {
		return "instance is not the leader"
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
