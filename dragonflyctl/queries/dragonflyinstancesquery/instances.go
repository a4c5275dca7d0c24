// Package dragonflyinstancesquery provides the command that lists instances.
package dragonflyinstancesquery

import (
	"context"

	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyreport"
	"github.com/urfave/cli/v3"
)

var columns = []string{"instance", "zone", "domain", "kind", "serves", "accelerators", "alive", "state", "membership", "group", "in-flight", "limit", "version"}

// Command returns the command "instances".
func Command() *cli.Command {
	flags := append(dragonflysession.Flags(), &cli.StringFlag{Name: "zone", Usage: "list only instances of this zone"})
	return &cli.Command{
		Name: "instances", Usage: "list the instances that have reported", Flags: flags,
		Action: dragonflysession.Action(run),
	}
}

func run(ctx context.Context, cmd *cli.Command, s dragonflysession.Session) error {
	if _, err := dragonflysession.Args(cmd); err != nil {
		return err
	}
	st, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	return s.Output.Rows(columns, rows(st.Reports, cmd.String("zone")))
}

func rows(reports []dragonflyreport.Report, zone string) (rows [][]any) {
	for _, r := range reports {
		a := r.Announcement
		if zone != "" && a.Zone != zone {
			continue
		}
		kind, serves := "engine", a.Model
		if a.Kind == dragonflyannouncement.Service {
			kind, serves = "service", a.Service
		}
		rows = append(rows, []any{
			a.Instance, a.Zone, a.Domain, kind, serves, a.Accelerators, r.Alive, state(r), membership(r), r.Group,
			r.Load.InFlight, r.Load.Limit, r.ConfigVersion,
		})
	}
	return rows
}

func state(r dragonflyreport.Report) string {
	switch r.Announcement.State {
	case dragonflyannouncement.Cold:
		return "cold"
	case dragonflyannouncement.Warming:
		return "warming"
	case dragonflyannouncement.Ready:
		return "ready"
	case dragonflyannouncement.Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

func membership(r dragonflyreport.Report) string {
	switch r.Membership {
	case dragonflyreport.Free:
		return "free"
	case dragonflyreport.Joining:
		return "joining"
	case dragonflyreport.Member:
		return "member"
	case dragonflyreport.Releasing:
		return "releasing"
	default:
		return "unknown"
	}
}
