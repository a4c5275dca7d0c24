package dragonflysettings

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflykeyfile"
)

// Duration parses a duration such as 300ms. An empty text means 0, for which the
// program has a default. Any other text that isn't a positive duration is a fault.
func (f *Faults) Duration(setting, text string) dragonflyduration.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	f.Require(err == nil && d > 0, setting, strconv.Quote(text)+" must be a positive duration such as \"300ms\"")
	return dragonflyduration.Duration(max(d, 0))
}

// Address requires that addr is an IP address and a port. With zeroPort, the port
// may be 0, for a process that listens on any free port and whose port needn't be
// known in advance. Host names are not allowed, because the system connects to IP
// addresses only.
func (f *Faults) Address(setting, addr string, zeroPort bool) {
	a, err := netip.ParseAddrPort(addr)
	f.Require(err == nil, setting, strconv.Quote(addr)+" must be an IP address and a port")
	f.Require(err != nil || zeroPort || a.Port() != 0, setting, "the port must not be 0")
}

// Peers returns the addresses on which the control instances reach each other:
// the hosts of seeds with the given port.
func (f *Faults) Peers(seeds []string, port int) (addrs []string) {
	f.Require(len(seeds) > 0, "seeds", "is empty")
	f.Require(port > 0, "peer-port", "is missing")
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			f.Add("seeds", err.Error())
			continue
		}
		addr := net.JoinHostPort(host, strconv.Itoa(port))
		f.Address("seeds", addr, false)
		addrs = append(addrs, addr)
	}
	return addrs
}

// Key requires either an internal key or a readable file that contains it, but not
// both.
func (f *Faults) Key(key, keyFile string) {
	if keyFile == "" {
		f.Require(key != "", "key", "is missing, and so is key-file")
		return
	}
	f.Require(key == "", "key", "must not be set beside key-file")
	file := dragonflykeyfile.KeyFile{Path: keyFile}
	if err := file.Load(); err != nil {
		f.Add("key-file", err.Error())
	}
}
