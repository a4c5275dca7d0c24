// Package dragonflygroupsquery provides the command that lists groups.
package dragonflygroupsquery

import (
	"context"

	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"github.com/urfave/cli/v3"
)

var columns = []string{"group", "fence", "model", "zones", "state", "cross-domain", "in-flight", "limit", "queued", "members"}

// Command returns the command "groups".
func Command() *cli.Command {
	return &cli.Command{
		Name: "groups", Usage: "list the groups of the replicated state", Flags: dragonflysession.Flags(),
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
	return s.Output.Rows(columns, rows(st))
}

func rows(st dragonflystatus.Status) (rows [][]any) {
	routes := map[uint64]dragonflyroute.Route{}
	for _, r := range st.Routes {
		routes[r.Group] = r
	}
	for _, g := range st.Groups {
		r := routes[g.ID]
		members := make([]string, len(g.Members))
		for i, m := range g.Members {
			members[i] = m.Instance
		}
		rows = append(rows, []any{
			g.ID, g.Fence, g.Model, r.Zones, state(r), r.CrossDomain,
			r.Load.InFlight, r.Load.Limit, r.Load.Queued, members,
		})
	}
	return rows
}

func state(r dragonflyroute.Route) string {
	switch {
	case r.Ready:
		return "ready"
	case r.Silent:
		return "silent"
	default:
		return "not-ready"
	}
}
