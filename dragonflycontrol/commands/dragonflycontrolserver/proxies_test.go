package dragonflycontrolserver_test

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"testing"

	"github.com/Shopify/toxiproxy"
)

// links maps caller and callee to the proxy between these control instances.
type links map[[2]string]*toxiproxy.Proxy

// connectThroughProxies routes the calls from each instance to each other one
// through a proxy of its own.
func connectThroughProxies(t testing.TB, controls []*control) links {
	t.Helper()
	l := links{}
	for _, from := range controls {
		members := map[string]string{}
		for name, addr := range from.server.Settings.Members {
			members[name] = addr
			if name == from.server.Settings.Instance {
				continue
			}
			p := startProxy(t, from.server.Settings.Instance+"-"+name, addr)
			l[[2]string{from.server.Settings.Instance, name}] = p
			members[name] = p.Listen
		}
		from.server.Settings.Members = members
	}
	return l
}

// nextProxyPort counts through ports below the ephemeral range, on an address that no other
// package uses: a proxy that is stopped and started again must find its port free, and an
// outgoing connection or another test could take it meanwhile.
var nextProxyPort atomic.Int32

// startProxy starts a proxy to the address upstream.
func startProxy(t testing.TB, name, upstream string) *toxiproxy.Proxy {
	t.Helper()
	nextProxyPort.CompareAndSwap(0, int32(12000+os.Getpid()%100*100))
	for range 2000 {
		p := toxiproxy.NewProxy()
		p.Name, p.Upstream = name, upstream
		p.Listen = fmt.Sprintf("127.8.0.1:%d", 12000+(nextProxyPort.Add(1)-12000)%20000)
		if p.Start() == nil {
			t.Cleanup(p.Stop)
			return p
		}
	}
	t.Fatal("no free port")
	return nil
}

// isolate cuts or restores all links of an instance.
func (l links) isolate(name string, cut bool) (err error) {
	for pair, p := range l {
		switch {
		case pair[0] != name && pair[1] != name:
		case cut:
			p.Stop()
		default:
			err = errors.Join(err, p.Start())
		}
	}
	return err
}
