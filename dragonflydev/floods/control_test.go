package dragonflyfloods_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	. "github.com/smartystreets/goconvey/convey"
	"storj.io/drpc/drpcwire"
)

const (
	// controlMB bounds the memory of a control instance in these tests.
	controlMB = 128
	// controlFiles bounds the descriptors that a crowd of callers leaves in use.
	controlFiles = callers + 80
)

// startControl starts a single control instance and returns the addresses for calls, pages
// and operators.
func startControl(t *testing.T) (p *process, calls, pages, operators string) {
	folder := t.TempDir()
	calls, pages, operators = freeAddress(), freeAddress(), freeAddress()
	_, port, _ := net.SplitHostPort(calls)
	p = start(folder, "dragonflycontrol", "serve", fmt.Sprintf(`{"instance":"127.0.0.1","seeds":[%q],"peer-port":%s,"listen":%q,
"debug-listen":%q,"operator-listen":%q,"data-folder":%q,"bootstrap":true,"without-key":true}`,
		calls, port, calls, pages, operators, folder+"/data"))
	eventually(func() bool { return answers("http://" + pages + "/readyz") })
	return p, calls, pages, operators
}

const heartbeat = `{"service":"s","address":"10.0.0.1:1","zone":"z","slots":1,"state":"ready","cold_left_ms":0,"seq":1}`

// TestControlFloods guards against a control instance that ends because callers of the API
// for operators and upstreams send many large bodies that do not end.
func TestControlFloods(t *testing.T) {
	for _, c := range crowds {
		for name, line := range map[string]string{
			"documents":  "PUT /config HTTP/1.1\r\nHost: h\r\n",
			"heartbeats": "PUT /servers/i-1 HTTP/1.1\r\nHost: h\r\n",
		} {
			Convey(name+", "+c.name, t, func() {
				p, _, _, operators := startControl(t)
				c.gather(operators, line)
				assertServed("PUT", "http://"+operators+"/servers/i-2", heartbeat, 200)
				p.assertBounded(t, controlMB, controlFiles)
			})
		}
	}
}

// TestPagesFloods guards against a program that ends because of large bodies sent to its
// pages for health and metrics, which need none.
func TestPagesFloods(t *testing.T) {
	for _, c := range crowds {
		Convey(c.name, t, func() {
			p, _, pages, _ := startControl(t)
			c.gather(pages, "GET /debug/vars HTTP/1.1\r\nHost: h\r\n")
			assertServed("GET", "http://"+pages+"/readyz", "", 200)
			p.assertBounded(t, controlMB, controlFiles)
		})
	}
}

// TestCallsFlood guards against a program that ends because of calls from other programs
// whose messages do not end.
func TestCallsFlood(t *testing.T) {
	Convey("Messages of the largest size but for the last frame", t, func() {
		p, calls, _, _ := startControl(t)
		gather(calls, callers, func(w io.Writer) error {
			frame := drpcwire.AppendFrame(nil, drpcwire.Frame{
				Data: make([]byte, 1<<20-1<<10), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke,
			})
			for range 4 {
				if _, err := w.Write(frame); err != nil {
					return err
				}
			}
			return nil
		})
		c := &dragonflyrpcclient.Client{Addr: calls, Connections: 1}
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, err := c.Call(ctx, "/unknown", []byte("x"))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "unknown call")
		p.assertBounded(t, controlMB, controlFiles)
	})
}
