package dragonflyentryserver

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"dragonflyrelay.example/library/commands/dragonflyclaim"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyentryaction"
	"dragonflyrelay.example/library/values/dragonflyentryevent"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflywork"
	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// defaultServiceTimeout is that of a service whose configuration names none.
	defaultServiceTimeout = 30 * dragonflyduration.Second
	// maxKeyBytes bounds an idempotency key, in bytes.
	maxKeyBytes = 256
)

// hopHeaders are not passed on in either direction: they belong to one
// connection, or are the business of the entry.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"host": true, "content-length": true, "expect": true, "date": true, "server": true,
	// The bearer key of the workspace must not reach a service.
	"authorization": true,
	headerRequest:   true, headerClass: true, headerOutcome: true, headerReplay: true,
}

// service passes a call to a plain service.
func (e *entry) service(ctx context.Context, c *app.RequestContext, r request) {
	ev, f := e.parseCall(c, r)
	if f.status != 0 {
		writeError(c, f)
		return
	}
	box, err := e.submit(ev)
	if err != nil {
		writeError(c, notRunError(503, "entry-busy", "this entry has too many requests waiting"))
		return
	}
	end, ok := e.awaitEnd(ctx, r, box)
	switch {
	case !ok:
	case end.Outcome == dragonflyentryaction.Completed:
		respond(c, end.Status, end.Headers, end.Body)
	case end.Outcome == dragonflyentryaction.Replayed && end.Result.Outcome == dragonflyresult.ClaimStored:
		c.Header(headerReplay, "true")
		respond(c, end.Result.Status, end.Result.Headers, end.Result.Body)
	default:
		writeError(c, endError(end))
	}
}

// parseCall copies the call out of c.
func (e *entry) parseCall(c *app.RequestContext, r request) (ev dragonflyentryevent.Event, f apiError) {
	name, path := splitServicePath(string(c.Request.Header.RequestURI()))
	svc, ok := e.routing.Load().Config().Services().Get(name)
	if !ok {
		return ev, apiError{status: 404, kind: kindInvalid, code: "unknown-service", message: "unknown service " + quote(name)}
	}
	key := string(c.GetHeader("Idempotency-Key"))
	if len(key) > maxKeyBytes {
		return ev, apiError{status: 400, kind: kindInvalid, code: "invalid-key", message: "the idempotency key is too long"}
	}
	method := string(c.Request.Header.Method())
	body := append([]byte(nil), c.Request.Body()...)
	timeout := svc.Timeout()
	if timeout <= 0 {
		timeout = defaultServiceTimeout
	}
	ev = dragonflyentryevent.Event{
		Kind: dragonflyentryevent.Begin, Request: r.id,
		Work: dragonflywork.Work{
			Workspace: r.workspace.Name(), Class: r.class.Name(), Kind: dragonflywork.Call,
			Service: name, Method: method, Path: path, Headers: copyHeaders(c), Body: body,
			Idempotent: svc.Idempotent(method),
		},
		Deadline: timeout, MaxInFlight: r.workspace.MaxInFlight(),
	}
	if key != "" {
		ev.ClaimKey = dragonflyclaim.Key(r.workspace.Name(), name, key)
		ev.Fingerprint = fingerprint(method, path, body)
	}
	return ev, apiError{}
}

// splitServicePath splits /services/{service}/{path}, with its query, into the
// service and the rest as the caller wrote it.
func splitServicePath(uri string) (service, path string) {
	rest := strings.TrimPrefix(uri, "/services/")
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

func copyHeaders(c *app.RequestContext) (out [][2]string) {
	c.Request.Header.VisitAll(func(k, v []byte) {
		if !hopHeaders[strings.ToLower(string(k))] {
			out = append(out, [2]string{string(k), string(v)})
		}
	})
	return out
}

// fingerprint is the SHA-256 in hex of method, path and body, each preceded by
// its length.
func fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range []string{method, path, string(body)} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func respond(c *app.RequestContext, status int, headers [][2]string, body []byte) {
	for _, h := range headers {
		if !hopHeaders[strings.ToLower(h[0])] {
			c.Response.Header.Add(h[0], h[1])
		}
	}
	c.SetStatusCode(status)
	c.Response.SetBody(body)
}
