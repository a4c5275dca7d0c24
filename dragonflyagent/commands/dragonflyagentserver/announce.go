package dragonflyagentserver

import (
	"context"
	"encoding/json"
	"net/http"

	"dragonflyrelay.example/library/common/dragonflydebugserver"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflygroupevent"
	"dragonflyrelay.example/library/values/dragonflyload"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"
)

// maxAnnouncementBytes bounds the body of an announcement, which has less than 1 KiB.
const maxAnnouncementBytes = 64 << 10

type wireAnnouncement struct {
	Instance      string   `json:"instance"`
	Kind          string   `json:"kind"`
	Address       string   `json:"address"`
	Zone          string   `json:"zone"`
	Region        string   `json:"region"`
	Domain        string   `json:"domain"`
	Accelerators  int      `json:"accelerators"`
	Model         string   `json:"model"`
	Service       string   `json:"service"`
	State         string   `json:"state"`
	ChecksFencing bool     `json:"checks-fencing"`
	ColdLimit     int      `json:"bearable"`
	Group         uint64   `json:"group"`
	Fence         uint64   `json:"fence"`
	Load          wireLoad `json:"load"`
}

type wireLoad struct {
	InFlight int `json:"in-flight"`
	Limit    int `json:"limit"`
	Queued   int `json:"queued"`
}

// announceServer returns the server that receives the upstream's announcements
// and serves the health pages.
func (s *Server) announceServer() *dragonflydebugserver.Server {
	return &dragonflydebugserver.Server{Ready: s.ready, MaxBody: maxAnnouncementBytes, Routes: func(h *server.Hertz) {
		h.POST("/announce", s.handleAnnouncement)
	}}
}

func (s *Server) handleAnnouncement(ctx context.Context, c *app.RequestContext) {
	a, err := s.readAnnouncement(c.Request.Body())
	if err != nil {
		counters.Add("announcements-refused", 1)
		c.JSON(http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	counters.Add("announcements", 1)
	ev := dragonflygroupevent.Event{Kind: dragonflygroupevent.Announced, Announcement: a}
	if err := s.groupRing.Put(ctx, groupInput{ev: ev}); err != nil {
		c.JSON(http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	c.Status(http.StatusNoContent)
}

// readAnnouncement parses and validates an announcement. The instance, region,
// zone and domain in the settings take precedence over the announced ones.
func (s *Server) readAnnouncement(raw []byte) (a dragonflyannouncement.Announcement, err error) {
	defer func() { err = errors.WithMessage(err, "announcement") }()
	var w wireAnnouncement
	if err := json.Unmarshal(raw, &w); err != nil {
		return a, err
	}
	if w.Instance != "" && w.Instance != s.Settings.Instance {
		return a, errors.Errorf("instance %q is not %q", w.Instance, s.Settings.Instance)
	}
	if w.Address == "" {
		return a, errors.New("address is missing")
	}
	a = dragonflyannouncement.Announcement{
		Instance: s.Settings.Instance, Address: w.Address,
		Region: firstNonEmpty(s.Settings.Region, w.Region), Zone: firstNonEmpty(s.Settings.Zone, w.Zone),
		Domain: firstNonEmpty(s.Settings.Domain, w.Domain), Accelerators: w.Accelerators,
		Model: w.Model, Service: w.Service, ChecksFencing: w.ChecksFencing,
		ColdLimit: w.ColdLimit, Group: w.Group, Fence: w.Fence,
		Load: dragonflyload.Load(w.Load),
	}
	switch w.Kind {
	case "engine":
		a.Kind = dragonflyannouncement.Engine
	case "service":
		a.Kind = dragonflyannouncement.Service
	default:
		return a, errors.Errorf("kind %q is neither engine nor service", w.Kind)
	}
	switch w.State {
	case "cold":
		a.State = dragonflyannouncement.Cold
	case "warming":
		a.State = dragonflyannouncement.Warming
	case "ready":
		a.State = dragonflyannouncement.Ready
	case "leaving":
		a.State = dragonflyannouncement.Leaving
	default:
		return a, errors.Errorf("state %q is unknown", w.State)
	}
	return a, nil
}

func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}
