package dragonflycontrolserver_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	fullDiskSeed = flag.Uint64("full-disk.seed", 1, "first seed of TestFullDisksInTurn")
	fullDiskRuns = flag.Int("full-disk.runs", 1, "number of runs of TestFullDisksInTurn")
	fullDiskLogs = flag.String("full-disk.logs", "", "folder for the logs of the processes of TestFullDisksInTurn")
)

// ackTimeout is the time within which a change is acknowledged.
const ackTimeout = 4 * time.Second

// operator stores one document after another and repeats each at the next instance until
// it is acknowledged.
type operator struct {
	processes []*process
	client    http.Client

	mu      sync.Mutex
	acked   int           // version of the latest acknowledged document
	began   time.Time     // of the change that is not acknowledged yet
	longest time.Duration // until an acknowledgement
	invalid int           // invalid documents that were acknowledged
	ended   chan struct{}
}

func (o *operator) put(p *process, body string) (status int) {
	req, err := http.NewRequest("PUT", fmt.Sprintf("http://%s:%d/config", p.IP, p.Port+1), strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// run stores documents until stop is closed. Now and then it sends an invalid one under
// the next version.
func (o *operator) run(stop <-chan struct{}) {
	defer close(o.ended)
	o.client.Timeout = time.Second
	for version, next := 1, 0; ; version++ {
		if version%10 == 0 {
			invalid := strings.Replace(routingDocument(version), `"service":"s"`, `"service":"x"`, 1)
			if o.put(o.processes[next%3], invalid) == 200 {
				o.mu.Lock()
				o.invalid++
				o.mu.Unlock()
			}
		}
		began := time.Now()
		o.mu.Lock()
		o.began = began
		o.mu.Unlock()
		for o.put(o.processes[next%3], routingDocument(version)) != 200 {
			next++
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
		o.mu.Lock()
		o.acked, o.longest = version, max(o.longest, time.Since(began))
		o.mu.Unlock()
		next++
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// acknowledged returns the latest acknowledged version and the longest time that a change
// has waited for its acknowledgement or waits for it now, and starts to measure that time
// anew.
func (o *operator) acknowledged() (version int, longest time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	longest = max(o.longest, time.Since(o.began))
	o.longest = 0
	return o.acked, longest
}

// TestFullDisksInTurn guards against changes that are refused or stay unanswered after the
// disks of the instances, real processes, were full one after another, and against the
// loss of an acknowledged change. A process is killed now and then while its disk is full,
// and just after it has room again, or starts with an empty disk that is full.
func TestFullDisksInTurn(t *testing.T) {
	for run := range *fullDiskRuns {
		seed := *fullDiskSeed + uint64(run)
		Convey(fmt.Sprintf("Changes are acknowledged and kept while and after disks are full in turn, seed %d", seed), t, func() {
			r := rand.New(rand.NewPCG(seed, 0))
			ps := startProcesses(t, 4)
			Reset(func() { keepLogs(ps, seed) })
			o := &operator{processes: ps, ended: make(chan struct{})}
			stop := make(chan struct{})
			go o.run(stop)
			assertWithin(10*time.Second, func() bool { v, _ := o.acknowledged(); return v > 3 })
			kinds := []string{
				refusesWrites, refusesLargeWrites, refusesSyncs, refusesFolderSyncs, refusesRenames, refusesLogRenames, refusesTruncation, stalls,
			}
			for round := range 6 {
				p := ps[(int(seed)+round)%3]
				what := kinds[r.IntN(len(kinds))]
				length := time.Duration(200+r.IntN(1500)) * time.Millisecond
				killed := r.IntN(5)
				t.Log("seed", seed, p.IP, "refuses", what, "for", length, "kill", killed)
				p.refuse(what)
				time.Sleep(length / 2)
				switch killed {
				case 0:
					p.restart()
				case 2:
					p.wipe()
				}
				time.Sleep(length / 2)
				p.refuse("")
				switch killed {
				case 0, 1:
					p.restart()
				case 2:
					(&deployment{port: p.Port}).callUntil(200, p.IP, "GET", "/config", "")
					time.Sleep(time.Second) // Until the instance is a member again.
				}
				time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
				v, longest := o.acknowledged()
				t.Log("acknowledged", v, "longest", longest)
				So(longest, ShouldBeLessThan, ackTimeout)
			}
			began, longest := time.Now(), time.Duration(0)
			before, _ := o.acknowledged()
			for after := before; after < before+20; time.Sleep(10 * time.Millisecond) {
				var latest time.Duration
				after, latest = o.acknowledged()
				longest = max(longest, latest)
				So(latest, ShouldBeLessThan, ackTimeout)
			}
			t.Log("20 changes after the last disk has room:", time.Since(began), "longest", longest)
			close(stop)
			<-o.ended
			last, _ := o.acknowledged()
			for _, p := range ps {
				So(p.running(), ShouldBeTrue)
				p.kill()
			}
			for _, p := range ps {
				p.start()
			}
			o.assertKept(last)
			So(o.invalid, ShouldEqual, 0)
		})
	}
}

// keepLogs copies the logs of the processes to the folder of the flag, if it is set.
func keepLogs(ps []*process, seed uint64) {
	if *fullDiskLogs == "" {
		return
	}
	for _, p := range ps {
		raw, err := os.ReadFile(p.logFile())
		So(err, ShouldBeNil)
		path := filepath.Join(*fullDiskLogs, fmt.Sprintf("%d-%s.log", seed, p.IP))
		So(os.WriteFile(path, raw, 0o600), ShouldBeNil)
	}
}

// assertKept checks that each instance returns the document of the given version, or the
// one after it, which the operator may have sent without an answer.
func (o *operator) assertKept(version int) {
	for _, p := range o.processes {
		c := &deployment{port: p.Port}
		got := c.callUntil(200, p.IP, "GET", "/config", "")
		So([]string{routingDocument(version), routingDocument(version + 1)}, ShouldContain, got)
	}
}
