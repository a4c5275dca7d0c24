// Package dragonflycontrolsettings reads and checks the settings of a control
// instance.
package dragonflycontrolsettings

import (
	"fmt"
	"net"
	"slices"

	"dragonflyrelay.example/library/common/dragonflykeyfile"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// Settings are the settings of one control instance.
type Settings struct {
	// Instance is the name of this instance, one of Members.
	Instance string
	// Members maps the names of all control instances, 1, 3 or 5 of them, to
	// the IP and port at which the others reach them.
	Members map[string]string
	// Listen is the IP and port for calls of other processes; port 0 picks one.
	Listen string
	// DebugListen is the IP and port of the health pages; port 0 picks one.
	DebugListen string
	// DataFolder holds the log and the snapshot.
	DataFolder string
	// Timeline is the file that events are appended to, "" for none.
	Timeline string
	// InternalKeyFile is the file with the key that every process of the system
	// presents. Changes of the file are followed.
	InternalKeyFile string
	// SnapshotEntries is the number of log entries after which a snapshot is
	// written, 0 for the default of 1,000.
	SnapshotEntries int
}

// file is the form of the settings file.
type file struct {
	Instance        string            `json:"instance"`
	Members         map[string]string `json:"members"`
	Listen          string            `json:"listen"`
	DebugListen     string            `json:"debug-listen"`
	DataFolder      string            `json:"data-folder"`
	Timeline        string            `json:"timeline"`
	InternalKeyFile string            `json:"internal-key-file"`
	SnapshotEntries int               `json:"snapshot-entries"`
}

// Load reads the settings file at path, JSON with comments, and checks it whole.
// The error lists all faults.
func Load(path string) (s Settings, err error) {
	defer func() { err = errors.WithMessagef(err, "settings %s", path) }()
	var f file
	if err := dragonflysettings.Load(path, &f); err != nil {
		return s, err
	}
	s = Settings(f)
	return s, s.Check()
}

// Check returns nil or an error that lists all faults of s.
func (s Settings) Check() error {
	var faults dragonflysettings.Faults
	check(s, &faults)
	return faults.Err()
}

// Names returns the names of all control instances in order.
func (s Settings) Names() []string {
	var names []string
	for name := range s.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func check(s Settings, faults *dragonflysettings.Faults) {
	faults.Require(s.Instance != "", "instance", "is missing")
	n := len(s.Members)
	faults.Require(n == 1 || n == 3 || n == 5, "members", fmt.Sprintf("has %d instances, but must have 1, 3 or 5", n))
	if _, ok := s.Members[s.Instance]; !ok && s.Instance != "" {
		faults.Add("members", fmt.Sprintf("does not name instance %q", s.Instance))
	}
	seen := map[string]string{}
	for _, name := range s.Names() {
		addr := s.Members[name]
		checkAddress("members."+name, addr, n > 1, faults)
		if other, ok := seen[addr]; ok {
			faults.Add("members."+name, "has the address of "+other)
		}
		seen[addr] = name
	}
	checkAddress("listen", s.Listen, false, faults)
	checkAddress("debug-listen", s.DebugListen, false, faults)
	faults.Require(s.DataFolder != "", "data-folder", "is missing")
	key := dragonflykeyfile.KeyFile{Path: s.InternalKeyFile}
	if err := key.Load(); err != nil {
		faults.Add("internal-key-file", err.Error())
	}
	faults.Require(s.SnapshotEntries >= 0, "snapshot-entries", "must not be negative")
}

// checkAddress requires an IP and a port, which must not be 0 if others have to
// know it.
func checkAddress(place, addr string, known bool, faults *dragonflysettings.Faults) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		faults.Add(place, fmt.Sprintf("%q must be an IP address and a port", addr))
		return
	}
	p, err := net.LookupPort("tcp", port)
	faults.Require(err == nil && (p > 0 || !known), place, fmt.Sprintf("port %q must be a number up to 65535, and not 0 if others need it", port))
}
