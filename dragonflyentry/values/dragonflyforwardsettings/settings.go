// Package dragonflyforwardsettings reads and checks the settings of an entry that forwards
// whole requests according to a routing document.
package dragonflyforwardsettings

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"dragonflyrelay.example/library/values/dragonflyretrylimits"
	"github.com/pkg/errors"
)

// Settings are the settings of one forwarding entry.
type Settings struct {
	// Name identifies the entry to control and in logs; Zone is its availability
	// zone.
	Name, Zone string
	// Listen is the IP address and port for callers, ReadyListen that of the
	// readiness page, and MetricsListen that of the metrics, "" for none.
	Listen, ReadyListen, MetricsListen string
	// Control lists the addresses of control instances.
	Control []string
	// RetryLimits bounds the retries of all entries together.
	RetryLimits dragonflyretrylimits.Limits
	// SecondSendRatio is the share of the requests of a service that this entry may send to a
	// second upstream while the first one is late, 0 for none.
	SecondSendRatio float64
	// KeyLease is how long keys are accepted without a confirmation from control, 0
	// for no limit.
	KeyLease dragonflyduration.Duration
	// Grace is the time from SIGTERM to the exit of the process, 0 for the default.
	Grace dragonflyduration.Duration
	// MemoryLimit is the memory of the instance in bytes, 0 for no limit.
	MemoryLimit int64
	// WaitingMemory is the memory of requests that wait for a document, a leader or an
	// endpoint, in bytes, at most a quarter of MemoryLimit; 0 lets none wait.
	WaitingMemory int64
	// BodyMemory is the memory for bodies and buffered responses in bytes, 0 for a part of
	// MemoryLimit.
	BodyMemory int64
	// BodyStall is the time after which a body that has stopped arriving is refused, 0 for
	// the default.
	BodyStall dragonflyduration.Duration
	// MaxFiles is the number of file descriptors of the instance, 0 for the limit of the
	// process.
	MaxFiles int
	// Path is the file that the settings were read from, "" if there was none.
	Path string
}

// waitingDivisor divides the memory of the instance to get the most that waiting requests
// may take of it. Instances of one deployment, with the same settings, may differ in size.
const waitingDivisor = 4

type file struct {
	Name          string   `json:"name"`
	Zone          string   `json:"zone"`
	Listen        string   `json:"listen"`
	ReadyListen   string   `json:"ready-listen"`
	MetricsListen string   `json:"metrics-listen"`
	Seeds         []string `json:"seeds"`
	PeerPort      int      `json:"peer-port"`
	RetryRatio    float64  `json:"repeat-ratio"`
	RetryExtra    float64  `json:"repeat-extra"`
	RetryWindowS  float64  `json:"repeat-window-s"`
	SecondSend    float64  `json:"second-send-ratio"`
	KeyLeaseMS    int64    `json:"key-lease-ms"`
	GraceS        float64  `json:"grace-s"`
	MemoryMB      int64    `json:"memory-mb"`
	WaitingMB     int64    `json:"waiting-mb"`
	BodyMB        int64    `json:"body-mb"`
	BodyStallMS   int64    `json:"body-stall-ms"`
	MaxFiles      int      `json:"max-fds"`
}

// Seeds reads the file of s again and returns the addresses of control instances that it
// lists now, or nil if it cannot be read.
func (s Settings) Seeds() []string {
	now, err := Load(s.Path)
	if err != nil {
		return nil
	}
	return now.Control
}

// Load reads and checks the settings file at path, which is JSON with comments. The error
// lists all faults.
func Load(path string) (s Settings, err error) {
	defer func() { err = errors.WithMessagef(err, "settings %s", path) }()
	var f file
	if err := dragonflysettings.Load(path, &f); err != nil {
		return s, err
	}
	var faults dragonflysettings.Faults
	s = Settings{
		Name: f.Name, Zone: f.Zone, Listen: f.Listen, ReadyListen: f.ReadyListen, MetricsListen: f.MetricsListen,
		RetryLimits: dragonflyretrylimits.Limits{
			Ratio: f.RetryRatio, Extra: f.RetryExtra,
			Window: dragonflyduration.Duration(f.RetryWindowS * float64(dragonflyduration.Second)),
		},
		SecondSendRatio: f.SecondSend,
		KeyLease:        dragonflyduration.Duration(f.KeyLeaseMS) * dragonflyduration.Millisecond,
		Grace:           dragonflyduration.Duration(f.GraceS * float64(dragonflyduration.Second)),
		MemoryLimit:     f.MemoryMB << 20, WaitingMemory: f.WaitingMB << 20,
		BodyMemory: f.BodyMB << 20, MaxFiles: f.MaxFiles,
		BodyStall: dragonflyduration.Duration(f.BodyStallMS) * dragonflyduration.Millisecond,
	}
	if s.MemoryLimit > 0 {
		s.WaitingMemory = min(s.WaitingMemory, s.MemoryLimit/waitingDivisor)
	}
	s.Path = path
	s.Control = faults.Peers(f.Seeds, f.PeerPort)
	check(s, &faults)
	return s, faults.Err()
}

func check(s Settings, faults *dragonflysettings.Faults) {
	faults.Require(s.Name != "", "name", "is missing")
	faults.Address("listen", s.Listen, true)
	faults.Address("ready-listen", s.ReadyListen, true)
	if s.MetricsListen != "" {
		faults.Address("metrics-listen", s.MetricsListen, true)
	}
	faults.Require(s.RetryLimits.Ratio >= 0, "repeat-ratio", "must not be negative")
	faults.Require(s.RetryLimits.Extra >= 0, "repeat-extra", "must not be negative")
	faults.Require(s.SecondSendRatio >= 0 && s.SecondSendRatio <= 1, "second-send-ratio", "must be from 0 to 1")
	faults.Require(s.KeyLease >= 0, "key-lease-ms", "must not be negative")
	faults.Require(s.Grace >= 0, "grace-s", "must not be negative")
	faults.Require(s.MemoryLimit >= 0, "memory-mb", "must not be negative")
	faults.Require(s.WaitingMemory >= 0, "waiting-mb", "must not be negative")
	faults.Require(s.BodyMemory == 0 || s.BodyMemory >= minBodyMemory, "body-mb", "must be 0 or at least 8, so that a single body of the largest size has room")
	faults.Require(s.BodyStall >= 0, "body-stall-ms", "must not be negative")
	faults.Require(s.MaxFiles >= 0, "max-fds", "must not be negative")
}
