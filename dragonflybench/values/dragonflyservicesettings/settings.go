// Package dragonflyservicesettings describes a stand-in for a plain service.
package dragonflyservicesettings

import "dragonflyrelay.example/library/common/dragonflyduration"

// Settings describe a plain service.
type Settings struct {
	// Instance is the id of the service's instance.
	Instance string
	// Listen is the IP and port to serve on; port 0 takes a free one. Empty
	// means a free port of 127.0.0.1.
	Listen string
	// Agent is the IP and port of the agent to announce to; empty for none.
	Agent string
	// Region, Zone and Domain tell where the instance is.
	Region, Zone, Domain string
	// Service names the service.
	Service string
	// ColdLimit is the number of concurrent calls that it announces as bearable.
	ColdLimit int
	// Delay is the time of one call.
	Delay dragonflyduration.Duration
	// FailEvery makes each call whose number it divides run and then answer
	// status 500; 0 means none.
	FailEvery int
	// DropEvery makes each call whose number it divides run and then lose its
	// answer: the connection closes. 0 means none.
	DropEvery int
}
