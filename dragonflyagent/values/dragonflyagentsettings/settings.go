// Package dragonflyagentsettings defines, reads and checks the settings of one
// agent.
package dragonflyagentsettings

import (
	"net/netip"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// Settings are the settings of one agent. Addresses consist of IP and port. Port
// 0 of an address to listen on lets the system choose a port.
type Settings struct {
	// Instance is the id of the instance that the agent runs on.
	Instance string
	// Region, Zone and Domain are the location of the instance. An empty one is
	// taken from the upstream's announcement.
	Region, Zone, Domain string
	// Listen is the address that entries and heads of groups connect to. A second
	// agent for the same upstream fails to start, since it cannot bind the address.
	Listen string
	// Advertise is the address that other processes use for this agent; empty means
	// the address that was bound for Listen.
	Advertise string
	// UpstreamListen is the loopback address that receives the upstream's
	// announcements.
	UpstreamListen string
	// DebugListen is a further address that serves the health pages; if it is
	// empty, only UpstreamListen serves them.
	DebugListen string
	// Control lists the addresses of the control instances, the home one first.
	Control []string
	// Key is the internal key that authenticates calls between processes of the
	// system.
	Key string
	// KeyFile is the file that holds the internal key, "" if Key holds it. The file
	// is read again when it changes.
	KeyFile string
	// Timeline is the file to which events are appended; empty means none.
	Timeline string
	// ServeWithoutControl keeps the agent serving when control has been unreachable
	// for longer than 3 s. The zone may then have been taken out unnoticed.
	ServeWithoutControl bool
	// Queue bounds the number of waiting requests; 0 means 256.
	Queue int
	// MaxConcurrency bounds the number of requests that run on the upstream; 0
	// means 256.
	MaxConcurrency int
	// MaxConnections bounds the number of connections from other processes, each of
	// which carries one stream at a time; 0 means 1024.
	MaxConnections int
	// DrainTimeout bounds a graceful shutdown; 0 means 2 min.
	DrainTimeout dragonflyduration.Duration
	// OrderTimeout bounds the engine's answer to an order; 0 means 10 s.
	OrderTimeout dragonflyduration.Duration
}

type wireSettings struct {
	Instance            string   `json:"instance"`
	Region              string   `json:"region"`
	Zone                string   `json:"zone"`
	Domain              string   `json:"domain"`
	Listen              string   `json:"listen"`
	Advertise           string   `json:"advertise"`
	UpstreamListen      string   `json:"upstream-listen"`
	DebugListen         string   `json:"debug-listen"`
	Control             []string `json:"control"`
	Key                 string   `json:"key"`
	KeyFile             string   `json:"key-file"`
	Timeline            string   `json:"timeline"`
	ServeWithoutControl bool     `json:"serve-without-control"`
	Queue               int      `json:"queue"`
	MaxConcurrency      int      `json:"max-concurrency"`
	MaxConnections      int      `json:"max-connections"`
	DrainTimeout        string   `json:"drain-timeout"`
	OrderTimeout        string   `json:"order-timeout"`
}

// Load reads and checks the settings file at path, which is JSON with comments.
// The error lists all faults.
func Load(path string) (s Settings, err error) {
	var w wireSettings
	if err := dragonflysettings.Load(path, &w); err != nil {
		return s, err
	}
	defer func() { err = errors.WithMessagef(err, "settings %s", path) }()
	var f dragonflysettings.Faults
	s = Settings{
		Instance: w.Instance, Region: w.Region, Zone: w.Zone, Domain: w.Domain,
		Listen: w.Listen, Advertise: w.Advertise, UpstreamListen: w.UpstreamListen,
		DebugListen: w.DebugListen, Control: w.Control, Key: w.Key, KeyFile: w.KeyFile, Timeline: w.Timeline,
		ServeWithoutControl: w.ServeWithoutControl, Queue: w.Queue,
		MaxConcurrency: w.MaxConcurrency, MaxConnections: w.MaxConnections,
		DrainTimeout: f.Duration("drain-timeout", w.DrainTimeout),
		OrderTimeout: f.Duration("order-timeout", w.OrderTimeout),
	}
	s.check(&f)
	return s, f.Err()
}

// Check returns an error that lists all faults of s.
func (s Settings) Check() (err error) {
	var f dragonflysettings.Faults
	s.check(&f)
	return f.Err()
}

func (s Settings) check(f *dragonflysettings.Faults) {
	f.Require(s.Instance != "", "instance", "is missing")
	f.Key(s.Key, s.KeyFile)
	f.Require(len(s.Control) > 0, "control", "lists no address")
	f.Address("listen", s.Listen, true)
	f.Address("upstream-listen", s.UpstreamListen, true)
	if a, err := netip.ParseAddrPort(s.UpstreamListen); err == nil {
		f.Require(a.Addr().IsLoopback(), "upstream-listen", "is not a loopback address")
	}
	if s.Advertise != "" {
		f.Address("advertise", s.Advertise, false)
	} else if a, err := netip.ParseAddrPort(s.Listen); err == nil {
		f.Require(!a.Addr().IsUnspecified(), "advertise", "is missing although listen names no address")
	}
	if s.DebugListen != "" {
		f.Address("debug-listen", s.DebugListen, true)
	}
	for _, c := range s.Control {
		f.Address("control", c, false)
	}
	f.Require(s.Queue >= 0, "queue", "is negative")
	f.Require(s.MaxConcurrency >= 0, "max-concurrency", "is negative")
	f.Require(s.MaxConnections >= 0, "max-connections", "is negative")
	f.Require(s.DrainTimeout >= 0, "drain-timeout", "is negative")
	f.Require(s.OrderTimeout >= 0, "order-timeout", "is negative")
}
