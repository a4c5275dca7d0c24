// Package dragonflycontrolreporter sends the reports of a process to all control instances.
package dragonflycontrolreporter

import (
	"context"
	"sync"
	"time"

	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
)

// rpcFollow is the name of the remote call. Instances that do not lead accept reports too.
const rpcFollow = "/dragonfly.control/Follow"

// callTimeout bounds a call. A live instance in another zone responds within a few
// milliseconds.
const callTimeout = 250 * time.Millisecond

// maxCalls bounds the calls at a time, one to each instance.
const maxCalls = 16

// Reporter sends numbered reports to control instances, whether they lead or not, and
// records what each of them has. Only one goroutine may use it. The zero value is ready to
// use.
type Reporter struct {
	// Key returns the internal key; nil sends none.
	Key func() string

	pool      dragonflypool.Pool
	instances map[string]*instance // by address
}

// instance is one control instance. A call in progress is its only user.
type instance struct {
	client   *dragonflyrpcclient.Client
	reported uint64 // number of the latest report that it has
}

// Send sends the reports up to sequence to those instances at addrs that lack some. Build
// returns the request with the reports above after. Send reports whether all instances
// have them now. An instance that has failed gets all reports again, since it may have
// started anew.
func (r *Reporter) Send(ctx context.Context, addrs []string, sequence uint64, build func(after uint64) dragonflyfollowrequest.Request) (complete bool) {
	r.keep(addrs)
	var calls sync.WaitGroup
	for _, in := range r.instances {
		if in.reported >= sequence {
			continue
		}
		payload, err := dragonflycodec.MarshalFollowRequest(build(in.reported))
		if err != nil {
			return false
		}
		calls.Add(1)
		err = r.pool.Go(func() {
			defer calls.Done()
			in.call(ctx, payload, sequence)
		})
		if err != nil {
			calls.Done()
		}
	}
	calls.Wait()
	for _, in := range r.instances {
		if in.reported < sequence {
			return false
		}
	}
	return true
}

// keep adds the instances at addrs and removes all others.
func (r *Reporter) keep(addrs []string) {
	r.pool.Name, r.pool.Size = "control-reports", maxCalls
	kept := map[string]*instance{}
	for _, addr := range addrs {
		in, ok := r.instances[addr]
		if !ok {
			in = &instance{client: r.client(addr)}
		}
		kept[addr] = in
	}
	for addr, in := range r.instances {
		if kept[addr] == nil {
			in.client.Close()
		}
	}
	r.instances = kept
}

func (r *Reporter) client(addr string) *dragonflyrpcclient.Client {
	return &dragonflyrpcclient.Client{Addr: addr, Key: r.Key, Connections: 1}
}

func (in *instance) call(ctx context.Context, payload []byte, sequence uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := in.client.Call(ctx, rpcFollow, payload); err != nil {
		// A connection that no longer responds would delay the next call as well.
		in.client.Close()
		in.client = &dragonflyrpcclient.Client{Addr: in.client.Addr, Key: in.client.Key, Connections: 1}
		in.reported = 0
		return
	}
	in.reported = sequence
}
