package dragonflysoak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"dragonflyrelay.example/platform/dragonflystandin"
)

const (
	// crowdSize is the number of callers whose bodies do not end.
	crowdSize = 200
	// crowdBodyBytes is the size of their bodies, the largest that the document allows.
	crowdBodyBytes = 1_000_000
	minCrowdGap    = 2 * time.Second
	maxCrowdGap    = 5 * time.Second
	// crowdSpan is how long a crowd keeps its connections.
	crowdSpan = 2 * time.Second
	// entryMB is the memory of an entry.
	entryMB = 128
)

// injectCrowds lets crowds of callers send bodies but for the last byte to an entry, until ctx
// ends, and checks the memory of the entry after each.
func (s *Soak) injectCrowds(ctx context.Context) {
	r := s.random(crowdStream)
	for ctx.Err() == nil {
		sleep(ctx, minCrowdGap+time.Duration(r.Int64N(int64(maxCrowdGap-minCrowdGap))))
		n, chunked := r.IntN(entries), r.IntN(2) == 1
		if ctx.Err() != nil {
			return
		}
		s.log("crowd at %s, chunked %v", processName("entry", n), chunked)
		crowd, leave := context.WithTimeout(ctx, crowdSpan)
		for i := range crowdSize {
			_ = s.pool.Go(func() { s.sendPart(crowd, n, i, chunked) })
		}
		<-crowd.Done()
		leave()
		s.checkMemory(n)
	}
}

// sendPart sends a body but for its end to entry n, and keeps the connection until ctx ends.
// It may be refused or closed before.
func (s *Soak) sendPart(ctx context.Context, n, caller int, chunked bool) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address("entry", n, s.ports.callers))
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	req, err := dragonflystandin.Call(ctx, c.RemoteAddr().String(), "once", fmt.Sprintf("%d-crowd-%d", s.Seed, caller), callTimeout)
	if err != nil {
		return
	}
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n", req.URL.Path, req.Host)
	if chunked {
		req.Header.Set("Transfer-Encoding", "chunked")
	} else {
		req.Header.Set("Content-Length", strconv.Itoa(crowdBodyBytes))
	}
	_ = req.Header.Write(&head)
	head.WriteString("\r\n")
	if chunked {
		_, _ = fmt.Fprintf(&head, "%x\r\n", crowdBodyBytes)
	}
	if _, err = c.Write(head.Bytes()); err != nil {
		return
	}
	part := make([]byte, 64<<10)
	for left := crowdBodyBytes - 1; left > 0; left -= min(left, len(part)) {
		if _, err := c.Write(part[:min(left, len(part))]); err != nil {
			return
		}
	}
	<-ctx.Done()
}

// checkMemory records a violation if entry n has ever taken more than its memory. A process
// that has ended meanwhile is not checked.
func (s *Soak) checkMemory(n int) {
	p := s.process("entry", n)
	if p == nil || p.cmd.Process == nil {
		return
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	if err != nil || !found {
		return
	}
	if kb, err := strconv.Atoi(strings.Fields(rest)[0]); err == nil && kb>>10 > entryMB {
		s.recordViolation("MEMORY: %s has taken %d MB of %d", processName("entry", n), kb>>10, entryMB)
	}
}
