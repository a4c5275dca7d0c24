package dragonflysoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dragonflyrelay.example/platform/dragonflystandin"
	"github.com/pkg/errors"
)

const (
	callTimeout  = 4 * time.Second
	callInterval = 20 * time.Millisecond
	// lateRunDelay is the time from a refusal until the check that the refused request
	// has not run, so that a run which starts late is detected too.
	lateRunDelay = 2 * time.Second
)

// runCaller sends requests over persistent connections until ctx ends.
func (s *Soak) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Timeout: callTimeout}
	for n := 0; ctx.Err() == nil; n++ {
		kind := []string{"stream", "once", "read"}[n%3]
		id := fmt.Sprintf("%d-%d-%d-%s", s.Seed, caller, n, kind)
		s.checkCall(ctx, client, kind, id, (caller+n/50)%entries)
		sleep(ctx, callInterval)
	}
}

// checkCall sends one request and checks its answer.
func (s *Soak) checkCall(ctx context.Context, client *http.Client, kind, id string, entry int) {
	status, body, err := s.call(ctx, client, kind, id, entry)
	outcome := fmt.Sprintf("%s %d", kind, status)
	if err != nil {
		outcome = kind + " broken off"
	}
	s.mu.Lock()
	s.answers[outcome]++
	s.mu.Unlock()
	if kind == "once" && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		time.AfterFunc(lateRunDelay, func() {
			if n := s.fleet.Runs(id); n > 0 {
				s.recordViolation("REFUSED: %s was refused with %d and has run", id, status)
			}
		})
	}
	if n := s.fleet.Runs(id); kind == "once" && n > 1 {
		s.recordViolation("TWICE: %s has run %d times", id, n)
	}
	switch {
	case status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusForbidden:
		s.recordViolation("DENIED: %s was answered %d", id, status)
	case status != http.StatusOK:
	case kind == "stream":
		s.checkStream(id, body, err == nil)
	case err == nil && body != dragonflystandin.ExpectedBody(id):
		s.recordViolation("MIXED: %s got %q", id, body)
	}
}

// checkStream checks that the events are in order and without a gap, and that none
// is missing if the answer appears complete.
func (s *Soak) checkStream(id, body string, complete bool) {
	var want strings.Builder
	last := dragonflystandin.EventCount(id)
	for n := 1; n <= last; n++ {
		want.WriteString(dragonflystandin.Event(id, n))
	}
	if !strings.HasPrefix(want.String(), body) {
		s.recordViolation("ORDER: the events of %s are not the start of its expected stream: %q", id, body)
	}
	if complete && body != want.String() {
		s.recordViolation("ORDER: the answer to %s appears complete after %d of %d bytes", id, len(body), want.Len())
	}
}

func (s *Soak) call(ctx context.Context, client *http.Client, kind, id string, entry int) (status int, body string, err error) {
	req, err := dragonflystandin.Call(ctx, address("entry", entry, s.ports.callers), kind, id, callTimeout)
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// awaitService waits until recoveryCalls requests in a row, over all kinds and
// entries, are answered. It returns an error after timeout.
func (s *Soak) awaitService(ctx context.Context, timeout time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := &http.Client{Timeout: callTimeout}
	consecutive, last := 0, ""
	for n := 0; consecutive < recoveryCalls; n++ {
		if ctx.Err() != nil {
			return errors.Errorf("requests are still failing after %s: %s", timeout, last)
		}
		kind := []string{"stream", "once", "read"}[n%3]
		status, _, err := s.call(ctx, client, kind, fmt.Sprintf("%d-w-%d-%s", time.Now().UnixNano(), n, kind), n%entries)
		if err != nil || status != http.StatusOK {
			consecutive, last = 0, fmt.Sprintf("%s: status %d, error %v", kind, status, err)
			sleep(ctx, 5*callInterval)
			continue
		}
		consecutive++
	}
	return nil
}
