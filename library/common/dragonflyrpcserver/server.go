// Package dragonflyrpcserver handles remote calls from other processes of the
// system.
package dragonflyrpcserver

import (
	"context"
	"crypto/subtle"
	"expvar"
	"io"
	"net"

	"dragonflyrelay.example/library/common/dragonflyboundedlistener"
	"dragonflyrelay.example/library/common/dragonflycountermap"
	"dragonflyrelay.example/library/common/dragonflydescriptorlimit"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyreservations"
	"dragonflyrelay.example/library/common/dragonflyrpcencoding"
	"dragonflyrelay.example/library/common/dragonflyrpcstream"
	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcserver"
)

// KeyMetadata is the name of the drpc metadata that carries the internal key.
const KeyMetadata = "dragonfly-key"

const (
	// messageMemory bounds what the messages that arrive on all connections take, in bytes.
	// One of 4 MiB counts as 16 while it arrives.
	messageMemory = 32 << 20
	// maxMessageBytes is the largest message that drpc takes, with its frames.
	maxMessageBytes = 4<<20 + 64<<10
	// messagePatience is how long a message may take while others wait for its memory.
	messagePatience = 2 * dragonflyduration.Second
	// descriptorShare is the inverse of the part of the descriptors that the connections may
	// take.
	descriptorShare = 2
)

// ErrUnauthenticated is wrapped by the error of a call without the correct internal
// key.
var ErrUnauthenticated = errors.New("internal key is missing or wrong")

var (
	accepted        = expvar.NewInt("dragonfly-rpc-connections-accepted")
	refused         = expvar.NewInt("dragonfly-rpc-connections-refused")
	unauthenticated = expvar.NewInt("dragonfly-rpc-unauthenticated")
	calls           = dragonflycountermap.New("dragonfly-rpc-calls")
)

// Server handles unary and streaming calls by name. The fields must not change
// after Serve is called.
type Server struct {
	// Unary maps the name of a unary call to its handler, which takes and returns
	// one message each.
	Unary map[string]func(ctx context.Context, req []byte) (res []byte, err error)
	// Streams maps the name of a streaming call to its handler. The context of the
	// stream ends when the caller disconnects.
	Streams map[string]func(s *dragonflyrpcstream.Stream) error
	// Key returns the internal key that callers must send; nil accepts all calls.
	Key func() string
	// Pool bounds the number of connections; it must be set.
	Pool *dragonflypool.Pool
}

// Serve accepts connections on l until ctx ends, then closes l. A connection beyond
// the size of the pool is closed at once and counted as refused.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.WithMessagef(err, "serve calls on %s", l.Addr()) }()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	srv := drpcserver.New(handler{s})
	bounded := &dragonflyboundedlistener.Listener{
		Listener: l, Name: "calls", MaxConnections: max(dragonflydescriptorlimit.Get()/descriptorShare, 1), NewCharge: newPacketCharge, MaxCharge: messageFactor * maxMessageBytes,
		Memory: &dragonflyreservations.Reservations{Name: "calls", Limit: messageMemory, Patience: messagePatience},
	}
	for {
		conn, err := bounded.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		err = s.Pool.Go(func() { _ = srv.ServeOne(dragonflyboundedlistener.WithConn(ctx, conn), conn) })
		if err != nil {
			refused.Add(1)
			_ = conn.Close()
			continue
		}
		accepted.Add(1)
	}
}

func (s *Server) authenticate(ctx context.Context) error {
	if s.Key == nil {
		return nil
	}
	md, _ := drpcmetadata.Get(ctx)
	if subtle.ConstantTimeCompare([]byte(md[KeyMetadata]), []byte(s.Key())) == 1 {
		return nil
	}
	unauthenticated.Add(1)
	return ErrUnauthenticated
}

type handler struct{ s *Server }

// HandleRPC implements drpc.Handler.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() { err = errors.WithMessagef(err, "call %s", rpc) }()
	if err := h.s.authenticate(stream.Context()); err != nil {
		return err
	}
	calls.Add(rpc, 1)
	if f, ok := h.s.Streams[rpc]; ok {
		return f(dragonflyrpcstream.New(stream))
	}
	f, ok := h.s.Unary[rpc]
	if !ok {
		return errors.New("unknown call")
	}
	var req []byte
	if err := stream.MsgRecv(&req, dragonflyrpcencoding.Encoding{}); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.New("call without a request message")
		}
		return err
	}
	dragonflyboundedlistener.SetBusy(stream.Context(), true)
	defer dragonflyboundedlistener.SetBusy(stream.Context(), false)
	res, err := f(stream.Context(), req)
	if err != nil {
		return err
	}
	return stream.MsgSend(&res, dragonflyrpcencoding.Encoding{})
}
