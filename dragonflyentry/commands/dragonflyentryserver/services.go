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
	// defaultServiceTimeout applies to a service whose configuration sets none.
	defaultServiceTimeout = 30 * dragonflyduration.Second
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 256
)

// hopHeaders are the headers that are not forwarded in either direction, by their
// names in lower case: they apply to a single connection or to the entry itself.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true,
	"te": true, "trailer": true, "transfer-encoding": true, "upgrade": true,
	"host": true, "content-length": true, "expect": true, "date": true, "server": true,
	// The bearer key of the workspace must not reach a service.
	"authorization": true,
	headerRequest:   true, headerClass: true, headerOutcome: true, headerReplay: true,
}

// service forwards a call to a plain service.
func (e *entry) service(ctx context.Context, c *app.RequestContext, r request) {
	ev, apiErr := e.parseCall(c, r)
	if apiErr.status != 0 {
		writeError(c, apiErr)
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

// parseCall returns the event that starts the call in c, or the error for the
// caller. The event holds copies, because hertz reuses its buffers after the handler
// returns.
func (e *entry) parseCall(c *app.RequestContext, r request) (ev dragonflyentryevent.Event, apiErr apiError) {
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
// service and the remaining path, which is left in the caller's encoding.
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

// fingerprint returns the hex SHA-256 of method, path and body, each preceded by its
// length.
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
