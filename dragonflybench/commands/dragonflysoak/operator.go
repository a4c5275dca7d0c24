package dragonflysoak

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"dragonflyrelay.example/platform/dragonflystandin"
	"github.com/pkg/errors"
)

const (
	operatorTimeout  = 1500 * time.Millisecond
	operatorInterval = 150 * time.Millisecond
	operatorAttempts = 60
)

// putFirstDocument sends the first document until it is acknowledged.
func (s *Soak) putFirstDocument(ctx context.Context) error {
	for n := range operatorAttempts {
		if s.putDocument(ctx, n%firstControls, 1) {
			return nil
		}
		sleep(ctx, operatorInterval)
	}
	return errors.New("no control instance acknowledged the first document")
}

// runOperator sends new documents and reads them back until ctx ends.
func (s *Soak) runOperator(ctx context.Context) {
	r := s.random(operatorStream)
	for version := 2; ctx.Err() == nil; version++ {
		s.putDocument(ctx, s.pickControl(r), version)
		s.readBack(ctx, s.pickControl(r))
		sleep(ctx, operatorInterval)
	}
}

// putDocument sends a document to one control instance and reports whether it was
// acknowledged.
func (s *Soak) putDocument(ctx context.Context, control, version int) (acked bool) {
	status, _, err := s.requestConfig(ctx, control, http.MethodPut, dragonflystandin.Document(version))
	if err != nil || status != http.StatusOK {
		if status >= 400 && status < 500 {
			s.recordViolation("CONFIG: document %d was refused with %d", version, status)
		}
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acked = max(s.acked, version)
	return true
}

// readBack reads the document from one control instance and reports whether the
// instance returned one, and what it answered otherwise. The document must not be older than the newest one that was
// acknowledged before the read.
func (s *Soak) readBack(ctx context.Context, control int) (ok bool, answer string) {
	acked := s.newestAcknowledged()
	status, body, err := s.requestConfig(ctx, control, http.MethodGet, "")
	if err != nil || status != http.StatusOK {
		return false, describeRead(status, err)
	}
	var d struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal([]byte(body), &d); err != nil || body != dragonflystandin.Document(d.Version) {
		s.recordViolation("CONFIG: control %d returned %q (%v)", control, body, err)
	}
	if d.Version < acked {
		s.recordViolation("CONFIG: control %d returned version %d after %d was acknowledged", control, d.Version, acked)
	}
	return true, ""
}

// newestAcknowledged returns the version of the newest acknowledged document.
func (s *Soak) newestAcknowledged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

// checkDocument reads the document at the end of the run.
func (s *Soak) checkDocument(ctx context.Context) {
	for n := range operatorAttempts {
		numbers := s.losses.numbers()
		if ok, _ := s.readBack(ctx, numbers[n%len(numbers)]); ok {
			return
		}
		sleep(ctx, operatorInterval)
	}
	s.recordViolation("CONFIG: no control instance answered a read at the end")
}

func (s *Soak) requestConfig(ctx context.Context, control int, method, body string) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address("control", control, s.ports.operator)+"/config", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}
