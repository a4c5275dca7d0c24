// Package dragonflystatusquery provides the command that summarizes the state of
// the system.
package dragonflystatusquery

import (
	"context"
	"fmt"

	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/queries/dragonflydescription"
	"dragonflyrelay.example/library/values/dragonflyannouncement"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"dragonflyrelay.example/library/values/dragonflyzone"
	"github.com/urfave/cli/v3"
)

// Command returns the command "status".
func Command() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the state of control, of the zones and of the targets", Flags: dragonflysession.Flags(),
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
	names, values := summaryFields(st)
	if s.Output.JSON {
		names = append(names, "zones", "targets")
		values = append(values, zoneObjects(st), configLines(st.Config))
		return s.Output.Fields(names, values)
	}
	if err := s.Output.Fields(names, values); err != nil {
		return err
	}
	if err := s.Output.Lines([]string{""}); err != nil {
		return err
	}
	if err := s.Output.Rows(zoneColumns, zoneRows(st)); err != nil {
		return err
	}
	if err := s.Output.Lines(append([]string{""}, configLines(st.Config)...)); err != nil {
		return err
	}
	if st.Leader == "" {
		return dragonflyexit.Errorf(dragonflyexit.Failed, "control has no leader: no changes are accepted and no groups are formed")
	}
	return nil
}

// summaryFields returns the names and values that describe the system as a whole.
// Accelerators count as idle unless their group is ready.
func summaryFields(st dragonflystatus.Status) (names []string, values []any) {
	ready := readyGroups(st)
	accelerators, idle := 0, 0
	for _, r := range st.Reports {
		if a := r.Announcement; a.Kind == dragonflyannouncement.Engine && r.Alive {
			accelerators += a.Accelerators
			if !ready[r.Group] {
				idle += a.Accelerators
			}
		}
	}
	return []string{"answered-by", "leader", "term", "commit", "confirmation-age", "version", "group-size", "groups", "groups-ready", "instances", "accelerators", "accelerators-idle"},
		[]any{
			st.Instance, st.Leader, st.Term, st.Commit, dragonflydescription.Duration(st.ConfirmationAge), st.Config.Version(), st.Config.GroupSize(),
			len(st.Groups), len(ready), len(st.Reports), accelerators, idle,
		}
}

// readyGroups returns the ids of the groups that accept requests.
func readyGroups(st dragonflystatus.Status) map[uint64]bool {
	ready := map[uint64]bool{}
	for _, r := range st.Routes {
		if r.Ready && r.Group != 0 {
			ready[r.Group] = true
		}
	}
	return ready
}

var zoneColumns = []string{"zone", "state", "notice", "instances", "groups-ready"}

// zoneRows returns a row for every zone that is configured or has instances.
func zoneRows(st dragonflystatus.Status) (rows [][]any) {
	cfg := st.Config
	instances, groups := map[string]int{}, map[string]int{}
	for _, r := range st.Reports {
		z := r.Announcement.Zone
		if _, ok := cfg.Zones().Get(z); !ok {
			cfg = cfg.WithZone(dragonflyzone.Zone{}.WithName(z))
		}
		instances[z]++
	}
	for _, r := range st.Routes {
		if r.Ready && r.Group != 0 {
			groups[r.Zone]++
		}
	}
	for name, z := range cfg.Zones().All() {
		d := dragonflydescription.Zone(z)
		rows = append(rows, []any{name, d[0][1], d[1][1], instances[name], groups[name]})
	}
	return rows
}

func zoneObjects(st dragonflystatus.Status) []map[string]any {
	out := []map[string]any{}
	for _, row := range zoneRows(st) {
		o := map[string]any{}
		for i, c := range zoneColumns {
			o[c] = row[i]
		}
		out = append(out, o)
	}
	return out
}

// configLines returns a line for each class, workspace and service.
func configLines(c dragonflyconfig.Config) (lines []string) {
	for name, v := range c.Classes().All() {
		lines = append(lines, formatLine("class", name, dragonflydescription.Class(v)))
	}
	for name, v := range c.Workspaces().All() {
		lines = append(lines, formatLine("workspace", name, dragonflydescription.Workspace(v)))
	}
	for name, v := range c.Services().All() {
		lines = append(lines, formatLine("service", name, dragonflydescription.Service(v)))
	}
	return lines
}

func formatLine(kind, name string, fields [][2]string) string {
	s := fmt.Sprintf("%s %s:", kind, name)
	for i, f := range fields {
		if i > 0 {
			s += ","
		}
		s += " " + f[0] + " " + f[1]
	}
	return s
}
