// Package dragonflystandinsettings parses and validates the settings files of the
// stand-ins.
package dragonflystandinsettings

import (
	"net"

	"dragonflyrelay.example/dragonflybench/values/dragonflybatchsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// wireEngine is the JSON form of the settings file of an engine. Durations are
// strings such as "300ms".
type wireEngine struct {
	Instance      string    `json:"instance"`
	Listen        string    `json:"listen"`
	Agent         string    `json:"agent"`
	Region        string    `json:"region"`
	Zone          string    `json:"zone"`
	Domain        string    `json:"domain"`
	Accelerators  int       `json:"accelerators"`
	Model         string    `json:"model"`
	ChecksFencing bool      `json:"checks-fencing"`
	LoadTime      string    `json:"load-time"`
	PingPeriod    string    `json:"ping-period"`
	PingTimeout   string    `json:"ping-timeout"`
	Standalone    bool      `json:"standalone"`
	Batch         wireBatch `json:"batch"`
}

type wireBatch struct {
	MaxBatch            int    `json:"max-batch"`
	QueueLimit          int    `json:"queue-limit"`
	TokenTime           string `json:"token-time"`
	TokenTimePerRequest string `json:"token-time-per-request"`
	PrefillPerBlock     string `json:"prefill-per-block"`
	CacheBlocks         int    `json:"cache-blocks"`
	ColdLimit           int    `json:"bearable"`
	WarmUpTokens        int    `json:"warm-up-tokens"`
	ColdFactor          int    `json:"cold-factor"`
	CollapseFactor      int    `json:"collapse-factor"`
	LoadLag             string `json:"load-lag"`
	CacheEventLag       string `json:"cache-event-lag"`
	CacheEventGap       int    `json:"cache-event-gap"`
}

// Engine parses the settings of an engine, which are JSON with comments. The error
// lists every invalid setting.
func Engine(raw []byte) (s dragonflyenginesettings.Settings, err error) {
	defer func() { err = errors.WithMessage(err, "engine settings") }()
	var w wireEngine
	if err := dragonflysettings.Parse(raw, &w); err != nil {
		return s, err
	}
	var f dragonflysettings.Faults
	f.Require(w.Instance != "", "instance", "is missing")
	checkAddress(&f, "listen", w.Listen)
	checkAddress(&f, "agent", w.Agent)
	f.Require(w.Accelerators >= 0, "accelerators", "is negative")
	s = dragonflyenginesettings.Settings{
		Instance: w.Instance, Listen: w.Listen, Agent: w.Agent,
		Region: w.Region, Zone: w.Zone, Domain: w.Domain,
		Accelerators: w.Accelerators, Model: w.Model, ChecksFencing: w.ChecksFencing,
		LoadTime:    f.Duration("load-time", w.LoadTime),
		PingPeriod:  f.Duration("ping-period", w.PingPeriod),
		PingTimeout: f.Duration("ping-timeout", w.PingTimeout),
		Standalone:  w.Standalone,
		Batch:       batch(&f, w.Batch),
	}
	return s, f.Err()
}

func batch(f *dragonflysettings.Faults, w wireBatch) dragonflybatchsettings.Settings {
	for setting, n := range map[string]int{
		"max-batch": w.MaxBatch, "queue-limit": w.QueueLimit, "cache-blocks": w.CacheBlocks,
		"bearable": w.ColdLimit, "warm-up-tokens": w.WarmUpTokens, "cold-factor": w.ColdFactor,
		"collapse-factor": w.CollapseFactor, "cache-event-gap": w.CacheEventGap,
	} {
		f.Require(n >= 0, "batch."+setting, "is negative")
	}
	return dragonflybatchsettings.Settings{
		MaxBatch: w.MaxBatch, QueueLimit: w.QueueLimit,
		TokenTime:           f.Duration("batch.token-time", w.TokenTime),
		TokenTimePerRequest: f.Duration("batch.token-time-per-request", w.TokenTimePerRequest),
		PrefillPerBlock:     f.Duration("batch.prefill-per-block", w.PrefillPerBlock),
		CacheBlocks:         w.CacheBlocks, ColdLimit: w.ColdLimit, WarmUpTokens: w.WarmUpTokens,
		ColdFactor: w.ColdFactor, CollapseFactor: w.CollapseFactor,
		LoadLag:       f.Duration("batch.load-lag", w.LoadLag),
		CacheEventLag: f.Duration("batch.cache-event-lag", w.CacheEventLag),
		CacheEventGap: w.CacheEventGap,
	}
}

// checkAddress checks that addr is empty or an IP and port. The system does not
// resolve host names.
func checkAddress(f *dragonflysettings.Faults, setting, addr string) {
	if addr == "" {
		return
	}
	host, _, err := net.SplitHostPort(addr)
	f.Require(err == nil && net.ParseIP(host) != nil, setting, "is not an IP and port")
}
