// Package dragonflysoak runs the built programs as separate processes on loopback,
// injects external faults on a schedule that is drawn from a seed, and checks the
// guarantees of the system as callers, upstreams and operators observe them.
package dragonflysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycutrelay"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/platform/dragonflystandin"
	"github.com/pkg/errors"
)

// Sizes and times of a soak.
const (
	firstControls    = 3
	entries          = 2
	enginesPerDomain = 4 // in each of two domains
	callers          = 12
	startTimeout     = 30 * time.Second
	// recoveryTimeout bounds the time from the last fault until requests are
	// answered again.
	recoveryTimeout = 20 * time.Second
	// recoveryCalls is the number of consecutive answers that count as recovered.
	recoveryCalls = 20
	// maxRelayTasks bounds the tasks of the relays, two for each connection.
	maxRelayTasks = 4096
)

// Soak is one run. Programs, Folder, Seed and InjectionTime must be set.
type Soak struct {
	// Programs is the folder of the built programs, Folder the one for settings,
	// data and logs.
	Programs, Folder string
	// Seed is the seed of the fault schedule and of the operator's choices of control
	// instances, and part of the request ids.
	Seed uint64
	// InjectionTime is the duration of the random faults, and after them that in which
	// scenarios of control instances begin.
	InjectionTime time.Duration
	// Log, if not nil, is called with a line for each fault.
	Log func(line string)

	fleet     *dragonflystandin.Fleet
	processes map[string]*process
	upstreams []*upstream
	ports     ports
	pool      dragonflypool.Pool
	relayPool dragonflypool.Pool
	losses    *losses
	started   int // number of control instances that were ever added

	mu         sync.Mutex                          // guards the fields below, processes, and the ids and cuts of upstreams
	relays     map[[2]int]*dragonflycutrelay.Relay // by the control instances that connect and are connected to
	violations []string
	answers    map[string]int // by outcome
	acked      int            // version of the newest document that was acknowledged
}

// ports are the port numbers for each purpose, which are the same on all addresses.
type ports struct {
	peer, operator, callers, ready int
	// control holds the port at which each control instance connects to the others, so that
	// the relays before these can tell them apart.
	control [maxControls]int
}

// upstream is an address with the stand-in server that runs there. After a crash, a
// new server is started at the same address.
type upstream struct {
	service, addr, advertised, zone, domain string
	id                                      string // of the current server, "" if there is none
	cutOff                                  bool   // its heartbeats do not arrive
}

// Run starts the system, sends requests while it injects faults, and returns the
// observed violations of guarantees.
func (s *Soak) Run(ctx context.Context) (violations []string, err error) {
	defer func() { err = errors.WithMessagef(err, "soak with seed %d", s.Seed) }()
	s.answers, s.processes = map[string]int{}, map[string]*process{}
	s.relays = map[[2]int]*dragonflycutrelay.Relay{}
	s.pool.Name, s.relayPool.Name, s.relayPool.Size = "soak", "soak-relays", maxRelayTasks
	ctx, stop := context.WithCancel(ctx)
	defer s.killAll()
	defer stop()
	if s.ports, err = freePorts(ctx); err != nil {
		return nil, err
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	if err := s.awaitService(ctx, startTimeout); err != nil {
		return nil, err
	}
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	for i := range callers {
		if err := s.pool.Go(func() { s.runCaller(load, i) }); err != nil {
			return nil, err
		}
	}
	if err := s.pool.Go(func() { s.runOperator(load) }); err != nil {
		return nil, err
	}
	if err := s.pool.Go(func() { s.watchConfiguration(ctx) }); err != nil {
		return nil, err
	}
	if err := s.pool.Go(func() { s.injectCrowds(load) }); err != nil {
		return nil, err
	}
	r := s.random(faultStream)
	if err := s.during(ctx, s.injectOutages, func() { s.injectFaults(ctx, r) }); err != nil {
		return nil, err
	}
	s.losses.reserve()
	if err := s.during(ctx, func(stop context.Context) { s.runScenarios(ctx, stop) }, func() { s.injectFaults(ctx, r) }); err != nil {
		return nil, err
	}
	if err := s.awaitService(ctx, recoveryTimeout); err != nil {
		s.recordViolation("RECOVER: %v", err)
	}
	if !s.awaitSettled(ctx, 0) {
		s.recordViolation("CONFIG: the deployment has not settled")
	}
	endLoad()
	wait, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s.checkDocument(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(s.violations, s.fleet.Violations()...), nil
}

// during runs f while it runs task, which ends soon after its context, in the background.
func (s *Soak) during(ctx context.Context, task func(ctx context.Context), f func()) error {
	ctx, end := context.WithCancel(ctx)
	defer end()
	ended := make(chan struct{})
	if err := s.pool.Go(func() {
		defer close(ended)
		task(ctx)
	}); err != nil {
		return err
	}
	f()
	end()
	<-ended
	return nil
}

// Answers returns the number of answers by outcome.
func (s *Soak) Answers() map[string]int { return s.answers }

func (s *Soak) log(format string, args ...any) {
	if s.Log != nil {
		s.Log(time.Now().Format(timeOfDay) + " " + fmt.Sprintf(format, args...))
	}
}

func (s *Soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, time.Now().Format(timeOfDay)+" "+fmt.Sprintf(format, args...))
}

// freePorts returns free ports. They are reserved until ctx ends, on an address that the soak
// does not use otherwise, so that no other run at the same time gets the same ones.
func freePorts(ctx context.Context) (p ports, err error) {
	all := []*int{&p.peer, &p.operator, &p.callers, &p.ready}
	for i := range p.control {
		all = append(all, &p.control[i])
	}
	for _, to := range all {
		l, err := net.Listen("tcp", address("reserved", 0, 0))
		if err != nil {
			return p, err
		}
		*to = l.Addr().(*net.TCPAddr).Port
		context.AfterFunc(ctx, func() { _ = l.Close() })
	}
	return p, nil
}

// address returns the loopback address and port of an instance. Each instance has
// an IP address of its own, as on separate machines.
func address(class string, n, port int) string {
	octet := map[string]int{"control": 40, "entry": 41, "engine": 42, "plain": 43, "behind-relay": 44, "reserved": 45}[class]
	return fmt.Sprintf("127.0.%d.%d:%d", octet, n+1, port)
}

func (s *Soak) start(ctx context.Context) (err error) {
	s.fleet = &dragonflystandin.Fleet{}
	for i := range firstControls {
		if err := s.addRelays(ctx, i); err != nil {
			return err
		}
	}
	s.losses, s.started = newLosses(firstControls), firstControls
	s.fleet.SetControl(s.operatorAddresses())
	for i := range firstControls {
		if err := s.startProcess("control", i, true); err != nil {
			return err
		}
	}
	for i := range 2 * enginesPerDomain {
		domain := fmt.Sprint("domain-", i/enginesPerDomain)
		u := &upstream{service: "llm", addr: address("engine", i, s.ports.callers), zone: fmt.Sprint("zone-", i/enginesPerDomain), domain: domain}
		if err := s.startUpstream(ctx, u); err != nil {
			return err
		}
		if err := s.startProcess("agent", i, false); err != nil {
			return err
		}
	}
	for i := range 2 {
		u := &upstream{service: "app", addr: address("plain", i, s.ports.callers), zone: fmt.Sprint("zone-", i)}
		if err := s.startUpstream(ctx, u); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := s.startProcess("entry", i, false); err != nil {
			return err
		}
	}
	return s.putFirstDocument(ctx)
}

func (s *Soak) startUpstream(ctx context.Context, u *upstream) (err error) {
	if u.advertised == "" {
		s.upstreams = append(s.upstreams, u)
		u.advertised = u.addr
	}
	id, err := s.fleet.Start(ctx, u.service, u.addr, u.advertised, u.zone, u.domain)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	u.id = id
	s.fleet.CutOff(id, u.cutOff)
	return nil
}

// Streams of random numbers. Each schedule has its own, so that a change of one leaves the
// others of earlier seeds as they were.
const (
	faultStream = iota
	operatorStream
	outageStream
	scenarioStream
	crowdStream
)

// random returns the random source of a schedule.
func (s *Soak) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

// folder returns the folder of the process with that name.
func (s *Soak) folder(name string) string { return filepath.Join(s.Folder, name) }

// writeFile writes text to path and creates its folder if needed.
func writeFile(path, text string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o600)
}
