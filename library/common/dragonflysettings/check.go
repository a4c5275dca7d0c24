package dragonflysettings

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflykeyfile"
)

// Duration reads a duration such as 300ms. An empty text means 0, for which the
// program has a default; anything else that is not positive is a fault at place.
func (f *Faults) Duration(place, text string) dragonflyduration.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	f.Require(err == nil && d > 0, place, strconv.Quote(text)+" must be a positive duration such as \"300ms\"")
	return dragonflyduration.Duration(max(d, 0))
}

// Address requires an IP address and a port at place, which may be 0 if the
// process itself listens there and nobody has to know the port beforehand. Host
// names are not allowed: the system talks by IP numbers.
func (f *Faults) Address(place, addr string, zeroPort bool) {
	a, err := netip.ParseAddrPort(addr)
	f.Require(err == nil, place, strconv.Quote(addr)+" must be an IP address and a port")
	f.Require(err != nil || zeroPort || a.Port() != 0, place, "the port must not be 0")
}

// Peers returns the addresses at which the control instances of seeds are reached:
// the seeds' hosts with the port that control instances share.
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

// Key requires exactly one of an internal key and a file that holds it.
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
