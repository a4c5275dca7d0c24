package dragonflycontrolserver

import (
	"cmp"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dragonflyrelay.example/dragonflycontrol/queries/dragonflycontrolsettings"
	"dragonflyrelay.example/library/codecs/dragonflycodec"
	"dragonflyrelay.example/library/commands/dragonflycluster"
	"dragonflyrelay.example/library/commands/dragonflyconsensus"
	"dragonflyrelay.example/library/common/dragonflybroadcast"
	"dragonflyrelay.example/library/common/dragonflyclock"
	"dragonflyrelay.example/library/common/dragonflycountermap"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyduty"
	"dragonflyrelay.example/library/common/dragonflykeyfile"
	"dragonflyrelay.example/library/common/dragonflylatest"
	"dragonflyrelay.example/library/common/dragonflylogstore"
	"dragonflyrelay.example/library/common/dragonflypool"
	"dragonflyrelay.example/library/common/dragonflyring"
	"dragonflyrelay.example/library/common/dragonflyrpcclient"
	"dragonflyrelay.example/library/common/dragonflytimeline"
	"dragonflyrelay.example/library/values/dragonflyconsensusaction"
	"dragonflyrelay.example/library/values/dragonflyconsensusevent"
	"dragonflyrelay.example/library/values/dragonflylogrecord"
	"dragonflyrelay.example/library/values/dragonflysnapshot"
	"github.com/pkg/errors"
)

// tickPeriod is the interval between ticks of the consensus core. It delays a
// failover by at most a third of a heartbeat interval.
const tickPeriod = 50 * dragonflyduration.Millisecond

// Capacities of the rings and pools.
const (
	// consensusRingCapacity bounds the queued proposals and messages of peers.
	consensusRingCapacity = 1024
	// persistRingCapacity is larger than the number of unsynced writes that the
	// consensus core allows, so that the consensus duty never waits for the disk.
	persistRingCapacity = 2 * dragonflyconsensus.MaxUnsyncedWrites
	applyRingCapacity   = 1024
	replyRingCapacity   = 1024
	// maxRPCConnections bounds the accepted connections. A system of the target
	// size has 380 entries and 3,600 agents, which are spread over the control
	// instances and reconnect to the others when one fails.
	maxRPCConnections = 8192
)

// defaultSnapshotEntries is the number of log entries after which a snapshot is
// written: a few times a day at 5,000 changes a day.
const defaultSnapshotEntries = 1000

var (
	elections       = expvar.NewMap("dragonfly-control-elections-won")
	terms           = expvar.NewMap("dragonfly-control-term")
	commits         = expvar.NewMap("dragonfly-control-commit")
	leading         = expvar.NewMap("dragonfly-control-leading")
	results         = expvar.NewMap("dragonfly-control-results")
	relayFailures   = expvar.NewInt("dragonfly-control-relay-failures")
	droppedMessages = dragonflycountermap.New("dragonfly-control-peer-messages-dropped")
)

// instance is a running control instance.
type instance struct {
	settings dragonflycontrolsettings.Settings
	clock    dragonflyclock.Clock
	key      *dragonflykeyfile.KeyFile
	timeline *dragonflytimeline.Timeline
	pool     dragonflypool.Pool // duties
	rpcPool  dragonflypool.Pool // one worker for each accepted connection

	consensus   *dragonflyduty.Duty[dragonflyconsensus.Consensus, dragonflyconsensusevent.Event, dragonflyconsensusaction.Action]
	replies     *replyDuty
	persist     *persistDuty
	diskWatch   *diskWatchDuty
	apply       *applyDuty
	directory   *directoryDuty
	fleet       *fleetDuty
	withdrawals *withdrawalDuty
	openings    *openingsDuty
	records     *recordsDuty
	relay       *relayDuty
	peers       *peers
	name        string // member name of this instance in the consensus

	consensusState dragonflylatest.Latest[dragonflyconsensus.Consensus]
	memberLog      memberLog
	readFailures   readFailures
	lastSender     dragonflylatest.Latest[string] // instance that has sent the latest consensus message
	applied        dragonflylatest.Latest[applied]
	relayed        dragonflylatest.Latest[relayed]
	requests       atomic.Uint64 // number of the last proposal
	started        int64         // start time in Unix nanoseconds; keeps proposal IDs unique across restarts
	draining       atomic.Bool
	appliedChanged dragonflybroadcast.Broadcast // fires when applied changes
	newLeader      chan struct{}                // receives a value when another instance leads, with a quorum, during the shutdown
}

// open opens the log and returns the consensus state restored from it. first
// names the members before the first entry of the log.
func open(store *dragonflylogstore.Store, s dragonflycontrolsettings.Settings, name string, first []string) (c dragonflyconsensus.Consensus, err error) {
	rawSnapshot, rawRecords, err := store.Open()
	if err != nil {
		return c, err
	}
	defer func() {
		if err != nil {
			_ = store.Close()
		}
	}()
	var snap dragonflysnapshot.Snapshot
	if rawSnapshot != nil {
		snap, err = dragonflycodec.UnmarshalSnapshot(rawSnapshot)
		if err != nil {
			return c, err
		}
	}
	var records []dragonflylogrecord.Record
	for i, raw := range rawRecords {
		r, err := dragonflycodec.UnmarshalRecord(raw)
		if err != nil {
			return c, errors.WithMessagef(err, "record %d of the log", i)
		}
		records = append(records, r)
	}
	if err := checkGap(snap, records); err != nil {
		return c, err
	}
	c = dragonflyconsensus.New(name, first).WithZone(s.Zone).Restored(snap, records)
	if s.AllowsMemberChanges() {
		c = c.WithMemberChanges()
	}
	return c, nil
}

// checkGap returns an error if entries are missing between the snapshot and the log or
// within the log, for example because the snapshot file was lost.
func checkGap(snap dragonflysnapshot.Snapshot, records []dragonflylogrecord.Record) error {
	var last uint64
	for _, r := range records {
		for _, e := range r.Entries {
			switch {
			case e.Index <= max(last, snap.Index)+1:
				last = e.Index
			case last == 0:
				return errors.Errorf("the log starts at entry %d, but the snapshot ends at entry %d", e.Index, snap.Index)
			default:
				return errors.Errorf("the log lacks the entries %d to %d, and the snapshot ends at entry %d", last+1, e.Index-1, snap.Index)
			}
		}
	}
	return nil
}

// newInstance returns an instance with the restored consensus state c, whose
// duties have not been started.
func newInstance(s *Server, c dragonflyconsensus.Consensus, store *dragonflylogstore.Store) *instance {
	in := &instance{
		settings: s.Settings,
		clock:    s.Clock,
		key:      &dragonflykeyfile.KeyFile{Path: s.Settings.KeyFile},
		timeline: dragonflytimeline.New(s.Settings.Instance),
		pool:     dragonflypool.Pool{Name: "control-duties", Size: 64},
		rpcPool:  dragonflypool.Pool{Name: "control-calls", Size: maxRPCConnections},
		name:     c.Self(),

		started:   time.Now().UnixNano(),
		newLeader: make(chan struct{}, 1),
	}
	in.peers = &peers{
		settings: s.Settings, key: in.keySource(), pool: dragonflypool.Pool{Name: "control-senders", Size: cmp.Or(s.MaxSenders, maxSenders)},
		idle:    cmp.Or(s.SenderIdle, senderIdleTime),
		clients: map[string]*dragonflyrpcclient.Client{}, senders: map[string]*sender{},
	}
	in.consensus = &dragonflyduty.Duty[dragonflyconsensus.Consensus, dragonflyconsensusevent.Event, dragonflyconsensusaction.Action]{
		In:      dragonflyring.New[dragonflyconsensusevent.Event]("consensus", consensusRingCapacity),
		State:   c,
		Step:    dragonflyconsensus.Consensus.Step,
		Act:     in.act,
		Publish: in.publish,
		Tick: func() dragonflyconsensusevent.Event {
			return dragonflyconsensusevent.Event{Kind: dragonflyconsensusevent.Tick, Seed: rand.Uint64()}
		},
		Period: tickPeriod,
		Clock:  s.Clock,
	}
	in.replies = newReplyDuty()
	in.persist = newPersistDuty(in, store)
	in.diskWatch = newDiskWatchDuty(in)
	in.directory = newDirectoryDuty(in)
	in.relay = newRelayDuty(in)
	in.fleet = newFleetDuty(in, s.Decode, s.Settings)
	in.withdrawals = newWithdrawalDuty(in)
	in.openings = newOpeningsDuty(in)
	in.records = newRecordsDuty(in)
	in.apply = newApplyDuty(in, dragonflycluster.FromState(c.Snapshot().State), c.Snapshot().Index)
	in.publish(c)
	return in
}

// keySource returns a function that reads the internal key, nil if calls need none.
func (in *instance) keySource() func() string {
	if in.settings.WithoutKey {
		return nil
	}
	return in.key.Key
}

// publish makes the consensus state visible to the call handlers, to the shutdown and to
// metrics.
func (in *instance) publish(c dragonflyconsensus.Consensus) {
	in.consensusState.Store(c)
	in.memberLog.observe(in.clock.Now(), c)
	isReplaced := !c.IsMember() && !c.Leading() // The next leader has a quorum without it.
	if in.draining.Load() && (isReplaced || c.FollowsQuorum()) {
		select {
		case in.newLeader <- struct{}{}:
		default:
		}
	}
	set(terms, in.settings.Instance, int64(c.Term()))
	set(commits, in.settings.Instance, int64(c.Commit()))
	lead := int64(0)
	if c.Leading() {
		lead = 1
	}
	set(leading, in.settings.Instance, lead)
}

// set sets the integer metric key of m to v.
func set(m *expvar.Map, key string, v int64) {
	i := new(expvar.Int)
	if old, ok := m.Get(key).(*expvar.Int); ok {
		i = old
	} else {
		m.Set(key, i)
	}
	i.Set(v)
}

// ready reports whether the instance can accept changes or forward them to the
// leader.
func (in *instance) ready() bool {
	c := in.consensusState.Load()
	return !in.draining.Load() && !c.DiskFailing() && c.Leader() != "" && in.confirmationAge() < maxConfirmationAge
}
