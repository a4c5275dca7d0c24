// Package dragonflyservicesettings holds the settings of a stand-in for a plain service.
package dragonflyservicesettings

import "dragonflyrelay.example/library/common/dragonflyduration"

// Settings are the settings of a plain service.
type Settings struct {
	// Instance is the id of the instance of the service.
	Instance string
	// Listen is the IP and port to serve on; port 0 chooses a free one. Empty
	// means a free port of 127.0.0.1.
	Listen string
	// Agent is the IP and port of the agent to announce to; empty for none.
	Agent string
	// Region, Zone and Domain are the location of the instance.
	Region, Zone, Domain string
	// Service is the name of the service.
	Service string
	// ColdLimit is the number of concurrent calls that it announces as its cold
	// limit.
	ColdLimit int
	// Delay is the duration of one call.
	Delay dragonflyduration.Duration
	// FailEvery makes each call whose number is a multiple of it run and then return
	// status 500; 0 means none.
	FailEvery int
	// DropEvery makes each call whose number is a multiple of it run and then close
	// the connection without an answer; 0 means none.
	DropEvery int
}
