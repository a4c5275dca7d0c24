package dragonflystandinsettings

import (
	"dragonflyrelay.example/dragonflybench/values/dragonflyservicesettings"
	"dragonflyrelay.example/library/common/dragonflysettings"
	"github.com/pkg/errors"
)

// wireService is the JSON form of the settings file of a plain service.
type wireService struct {
	Instance  string `json:"instance"`
	Listen    string `json:"listen"`
	Agent     string `json:"agent"`
	Region    string `json:"region"`
	Zone      string `json:"zone"`
	Domain    string `json:"domain"`
	Service   string `json:"service"`
	ColdLimit int    `json:"bearable"`
	Delay     string `json:"delay"`
	FailEvery int    `json:"fail-every"`
	DropEvery int    `json:"drop-every"`
}

// Service parses the settings of a plain service, which are JSON with comments. The
// error lists every invalid setting.
func Service(raw []byte) (s dragonflyservicesettings.Settings, err error) {
	defer func() { err = errors.WithMessage(err, "service settings") }()
	var w wireService
	if err := dragonflysettings.Parse(raw, &w); err != nil {
		return s, err
	}
	var f dragonflysettings.Faults
	f.Require(w.Instance != "", "instance", "is missing")
	f.Require(w.Service != "", "service", "is missing")
	checkAddress(&f, "listen", w.Listen)
	checkAddress(&f, "agent", w.Agent)
	f.Require(w.ColdLimit >= 0, "bearable", "is negative")
	f.Require(w.FailEvery >= 0, "fail-every", "is negative")
	f.Require(w.DropEvery >= 0, "drop-every", "is negative")
	s = dragonflyservicesettings.Settings{
		Instance: w.Instance, Listen: w.Listen, Agent: w.Agent,
		Region: w.Region, Zone: w.Zone, Domain: w.Domain,
		Service: w.Service, ColdLimit: w.ColdLimit, Delay: f.Duration("delay", w.Delay),
		FailEvery: w.FailEvery, DropEvery: w.DropEvery,
	}
	return s, f.Err()
}
