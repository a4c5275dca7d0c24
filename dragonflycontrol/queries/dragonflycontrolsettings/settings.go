// Package dragonflycontrolsettings loads and validates the settings of a control
// instance.
package dragonflycontrolsettings

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"

	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// maxGroupStallMS bounds the time for which the engines of a group are idle because its head
// cannot be reached.
const maxGroupStallMS = 60_000

// maxHeartbeatMS is far beyond the time after which an upstream without heartbeats is removed.
const maxHeartbeatMS = 60_000

// Settings are the settings of one control instance.
type Settings struct {
	// Instance is the name of this instance: one of Members, or its IP if Seeds is
	// set.
	Instance string
	// Zone is the availability zone of this instance, "" if it is not known. Members that may
	// change are spread over the zones.
	Zone string
	// Members maps the names of all control instances, 1, 3 or 5 of them, to the
	// IP and port at which the others reach them. It is empty if Seeds is set.
	Members map[string]string
	// Listen is the IP and port for calls of other processes; port 0 selects a free
	// port.
	Listen string
	// DebugListen is the IP and port of the health pages; port 0 selects a free
	// port.
	DebugListen string
	// DataFolder is the folder of the log and the snapshot.
	DataFolder string
	// Timeline is the file that events are appended to, "" for none.
	Timeline string
	// KeyFile is the file with the internal key that every process of the system
	// presents. The key is reloaded when the file changes.
	KeyFile string
	// SnapshotEntries is the number of log entries after which a snapshot is
	// written, 0 for the default of 1,000.
	SnapshotEntries int
	// Seeds lists the addresses of the first control instances and replaces
	// Members: each instance is named by its IP, and the others reach it at
	// PeerPort.
	Seeds    []string
	PeerPort int
	// Bootstrap is set, together with Seeds, for the first start of the
	// deployment, whose first members are the seeds. At later starts, an instance
	// with an empty disk joins under a new name.
	Bootstrap bool
	// OperatorListen is the IP and port for operators and upstreams, "" for none.
	OperatorListen string
	// WithoutKey accepts calls without an internal key. It is meant for a network
	// that only the system can reach.
	WithoutKey bool
	// GroupStallMS is the time in ms after which the head of a group that lacks a member is
	// broken, 0 for the default of 6 s.
	GroupStallMS float64
	// HeartbeatMS is the interval in ms at which upstreams send heartbeats, 0 if it is not
	// known.
	HeartbeatMS float64
	// PlanByDemand lets the groups of the models follow the work that entries report, instead
	// of the shares of the routing document.
	PlanByDemand bool
}

// file is the JSON structure of the settings file.
type file struct {
	Instance        string            `json:"instance"`
	Zone            string            `json:"zone"`
	Members         map[string]string `json:"members"`
	Listen          string            `json:"listen"`
	DebugListen     string            `json:"debug-listen"`
	DataFolder      string            `json:"data-folder"`
	Timeline        string            `json:"timeline"`
	KeyFile         string            `json:"key-file"`
	SnapshotEntries int               `json:"snapshot-entries"`
	Seeds           []string          `json:"seeds"`
	PeerPort        int               `json:"peer-port"`
	Bootstrap       bool              `json:"bootstrap"`
	OperatorListen  string            `json:"operator-listen"`
	WithoutKey      bool              `json:"without-key"`
	GroupStallMS    float64           `json:"group-stall-ms"`
	HeartbeatMS     float64           `json:"heartbeat-ms"`
	PlanByDemand    bool              `json:"plan-by-demand"`
}

// Load reads the settings file at path, JSON with comments, and validates it. The
// error lists all invalid settings.
func Load(path string) (s Settings, err error) {
	defer func() { err = errors.WithMessagef(err, "settings %s", path) }()
	var f file
	if err := dragonflysettings.Load(path, &f); err != nil {
		return s, err
	}
	s = Settings(f)
	return s, s.Check()
}

// WithZone returns s with Zone from the value of a flag, or s if that is empty.
func (s Settings) WithZone(name string) Settings {
	s.Zone = cmp.Or(name, s.Zone)
	return s
}

// WithGroupStall returns s with GroupStallMS from the value of a flag, or s if that is empty.
func (s Settings) WithGroupStall(ms string) (_ Settings, err error) {
	defer func() { err = errors.WithMessage(err, "group-stall-ms") }()
	if s.GroupStallMS, err = flagValue(ms, s.GroupStallMS); err != nil || ms == "" {
		return s, err
	}
	return s, s.Check()
}

// WithHeartbeatInterval returns s with HeartbeatMS from the value of a flag, or s if that is
// empty.
func (s Settings) WithHeartbeatInterval(ms string) (_ Settings, err error) {
	defer func() { err = errors.WithMessage(err, "heartbeat-ms") }()
	if s.HeartbeatMS, err = flagValue(ms, s.HeartbeatMS); err != nil || ms == "" {
		return s, err
	}
	return s, s.Check()
}

// flagValue returns the number of a flag, or the setting that it replaces if it is empty.
func flagValue(flag string, setting float64) (v float64, err error) {
	if flag == "" {
		return setting, nil
	}
	return strconv.ParseFloat(flag, 64)
}

// Check returns nil or an error that lists all invalid settings of s.
func (s Settings) Check() error {
	var faults dragonflysettings.Faults
	check(s, &faults)
	return faults.Err()
}

// AllowsMemberChanges reports whether members may change at run time.
func (s Settings) AllowsMemberChanges() bool { return len(s.Seeds) > 0 }

// FirstMembers returns the sorted names of the seeds if Bootstrap is set, nil
// otherwise.
func (s Settings) FirstMembers() []string {
	var names []string
	for _, seed := range s.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil && s.Bootstrap {
			names = append(names, host)
		}
	}
	slices.Sort(names)
	return names
}

// MemberNames returns the sorted names of Members.
func (s Settings) MemberNames() []string {
	var names []string
	for name := range s.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func check(s Settings, faults *dragonflysettings.Faults) {
	faults.Require(s.Instance != "", "instance", "is missing")
	if s.AllowsMemberChanges() {
		checkSeeds(s, faults)
	} else {
		checkMembers(s, faults)
	}
	faults.Address("listen", s.Listen, true)
	faults.Address("debug-listen", s.DebugListen, true)
	faults.Require(s.DataFolder != "", "data-folder", "is missing")
	if !s.WithoutKey {
		faults.Key("", s.KeyFile)
	}
	faults.Require(s.SnapshotEntries >= 0, "snapshot-entries", "must not be negative")
	faults.Require(s.GroupStallMS >= 0 && s.GroupStallMS <= maxGroupStallMS, "group-stall-ms", "must be between 0 and 60000")
	faults.Require(s.HeartbeatMS >= 0 && s.HeartbeatMS <= maxHeartbeatMS, "heartbeat-ms", "must be between 0 and 60000")
}

// checkSeeds checks the settings of a deployment whose members may change.
func checkSeeds(s Settings, faults *dragonflysettings.Faults) {
	for _, seed := range s.Seeds {
		faults.Address("seeds", seed, false)
	}
	faults.Require(len(s.Members) == 0, "members", "must not be set together with seeds")
	faults.Require(s.PeerPort > 0, "peer-port", "is missing")
}

// checkMembers checks the settings of a deployment with fixed members.
func checkMembers(s Settings, faults *dragonflysettings.Faults) {
	n := len(s.Members)
	faults.Require(n == 1 || n == 3 || n == 5, "members", fmt.Sprintf("has %d instances, but must have 1, 3 or 5", n))
	if _, ok := s.Members[s.Instance]; !ok && s.Instance != "" {
		faults.Add("members", fmt.Sprintf("does not name instance %q", s.Instance))
	}
	seen := map[string]string{}
	for _, name := range s.MemberNames() {
		addr := s.Members[name]
		faults.Address("members."+name, addr, n == 1)
		if other, ok := seen[addr]; ok {
			faults.Add("members."+name, "has the address of "+other)
		}
		seen[addr] = name
	}
}
