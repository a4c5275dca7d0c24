// Package dragonflyupstreamjson encodes and decodes the JSON messages between
// upstreams and agents, which section 8.1 of the design page defines.
package dragonflyupstreamjson

import (
	"encoding/json"

	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"github.com/pkg/errors"
)

type wireLoad struct {
	InFlight int `json:"in-flight"`
	Limit    int `json:"limit"`
	Queued   int `json:"queued"`
}

type wireAnnouncement struct {
	Instance      string   `json:"instance"`
	Kind          string   `json:"kind"`
	Address       string   `json:"address"`
	Zone          string   `json:"zone"`
	Region        string   `json:"region"`
	Domain        string   `json:"domain"`
	Accelerators  int      `json:"accelerators"`
	Model         string   `json:"model,omitempty"`
	Service       string   `json:"service,omitempty"`
	State         string   `json:"state"`
	ChecksFencing bool     `json:"checks-fencing"`
	ColdLimit     int      `json:"bearable"`
	Group         uint64   `json:"group"`
	Fence         uint64   `json:"fence"`
	Load          wireLoad `json:"load"`
}

// MarshalAnnouncement returns the JSON form of a.
func MarshalAnnouncement(a dragonflyannouncement.Announcement) (raw []byte, err error) {
	defer func() { err = errors.WithMessage(err, "marshal announcement") }()
	return json.Marshal(wireAnnouncement{
		Instance: a.Instance, Kind: kindName(a), Address: a.Address,
		Zone: a.Zone, Region: a.Region, Domain: a.Domain, Accelerators: a.Accelerators,
		Model: a.Model, Service: a.Service, State: StateName(a),
		ChecksFencing: a.ChecksFencing, ColdLimit: a.ColdLimit, Group: a.Group, Fence: a.Fence,
		Load: wireLoad(a.Load),
	})
}

func kindName(a dragonflyannouncement.Announcement) string {
	if a.Kind == dragonflyannouncement.Service {
		return "service"
	}
	return "engine"
}

// StateName returns the name of the announced state.
func StateName(a dragonflyannouncement.Announcement) string {
	switch a.State {
	case dragonflyannouncement.Ready:
		return "ready"
	case dragonflyannouncement.Warming:
		return "warming"
	case dragonflyannouncement.Leaving:
		return "leaving"
	default:
		return "cold"
	}
}
