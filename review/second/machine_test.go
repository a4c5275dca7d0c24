package dragonflysecond

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Ordinary clients with kept channels, and the requests of theirs that a machine may pass on
// and leave without an answer: the rule LOST allows three.
const (
	keptClients  = 12
	allowedLoss  = 3
	soundService = "wuno97s"
	sound        = "/sano112/"
)

// killOverMemory plays the machine of p: it kills p once it has more memory than the machine.
// The returned function ends that, and returns the highest memory in MiB and whether it killed.
func (s *system) killOverMemory(p *process) (end func() (highest int, killed bool)) {
	stop, ended := make(chan struct{}), make(chan struct{})
	highest, killed := 0, false
	go func() {
		defer close(ended)
		for {
			select {
			case <-stop:
				return
			case <-p.done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			highest = max(highest, p.memoryMB())
			if highest > frontMB {
				s.note("%s has %d MiB, its machine %d: it is killed", p.name, highest, frontMB)
				killed = true
				_ = p.cmd.Process.Kill()
				return
			}
		}
	}()
	return func() (int, bool) {
		close(stop)
		<-ended
		return highest, killed
	}
}

// keep lets ordinary clients send requests to sound servers on kept channels until stop is
// closed or their channel ends. It returns the requests that a server ran and that got no
// answer before their channel ended.
func (s *system) keep(front string, servers []*server, stop chan struct{}) (lost func() int) {
	var n, answered atomic.Int64
	var clients sync.WaitGroup
	for i := range keptClients {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp", front, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for k := 0; !ended(stop, 0); k++ {
				attempt := fmt.Sprintf("k%03x%012x", i, k)
				_, _ = fmt.Fprintf(c, "POST %s2f HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: 2500\r\nContent-Length: 2\r\n\r\n{}", sound, host, attempt, keyOfA)
				_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					runs := 0
					for _, v := range servers {
						runs += v.count(attempt)
					}
					if runs > 0 && k > 0 {
						n.Add(1)
						s.note("%s, request %d of a kept channel, ran at a sound server; the channel ends without an answer: %v", attempt, k+1, err)
					}
					return
				}
				_, _ = br.Discard(int(max(resp.ContentLength, 0)))
				answered.Add(1)
			}
		})
	}
	return func() int {
		clients.Wait()
		s.note("requests of kept channels: %d answered, %d passed on to a sound server and left without an answer", answered.Load(), n.Load())
		return int(n.Load())
	}
}

// soundConfig is config with a route to a second service.
func soundConfig(version, timeoutMS int) string {
	return withRoute(config(version, timeoutMS))
}
