// Package dragonflywatchquery provides the command that shows changes of the system
// as they happen.
package dragonflywatchquery

import (
	"context"
	"fmt"
	"time"

	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/queries/dragonflyconfigdiff"
	"dragonflyrelay.example/library/values/dragonflyroute"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"github.com/urfave/cli/v3"
)

// Command returns the command "watch".
func Command() *cli.Command {
	flags := append(dragonflysession.Flags(),
		&cli.DurationFlag{Name: "interval", Value: time.Second, Usage: "time between two reads of the state"},
		&cli.DurationFlag{Name: "for", Usage: "stop after this time (default: until interrupted)"},
	)
	return &cli.Command{
		Name: "watch", Usage: "show changes of the leader, the configuration and the groups as they happen", Flags: flags,
		Action: dragonflysession.Action(run),
	}
}

func run(ctx context.Context, cmd *cli.Command, s dragonflysession.Session) error {
	if _, err := dragonflysession.Args(cmd); err != nil {
		return err
	}
	if cmd.Duration("interval") <= 0 || cmd.Duration("for") < 0 {
		return dragonflyexit.Errorf(dragonflyexit.Usage, "--interval must be positive and --for must not be negative")
	}
	if d := cmd.Duration("for"); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	ticker := time.NewTicker(cmd.Duration("interval"))
	defer ticker.Stop()
	last, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	if err := printLines(s, []string{summaryLine(last)}); err != nil {
		return err
	}
	for reached := true; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		next, err := s.Client.Status(ctx)
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil && reached:
			err = printLines(s, []string{"control cannot be reached: " + err.Error()})
			reached = false
		case err == nil && !reached:
			err = printLines(s, append([]string{"control can be reached again"}, changes(last, next)...))
			last, reached = next, true
		case err == nil:
			err = printLines(s, changes(last, next))
			last = next
		default:
			err = nil // Control is still unreachable, which was already reported.
		}
		if err != nil {
			return err
		}
	}
}

// printLines writes each line after the current time. As JSON it writes one object
// per line.
func printLines(s dragonflysession.Session, lines []string) error {
	at := time.Now().UTC().Format(time.RFC3339)
	for _, l := range lines {
		var err error
		if s.Output.JSON {
			err = s.Output.Fields([]string{"at", "change"}, []any{at, l})
		} else {
			err = s.Output.Lines([]string{at + "  " + l})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func summaryLine(st dragonflystatus.Status) string {
	ready := 0
	for _, r := range st.Routes {
		if r.Ready {
			ready++
		}
	}
	return fmt.Sprintf("leader %s, version %d, %d of %d routes ready", orNone(st.Leader), st.Config.Version(), ready, len(st.Routes))
}

// changes returns a line for each difference between the states old and next.
func changes(old, next dragonflystatus.Status) (lines []string) {
	if old.Leader != next.Leader {
		lines = append(lines, fmt.Sprintf("leader %s -> %s, term %d", orNone(old.Leader), orNone(next.Leader), next.Term))
	}
	if old.Config.Version() != next.Config.Version() {
		lines = append(lines, fmt.Sprintf("version %d -> %d", old.Config.Version(), next.Config.Version()))
		lines = append(lines, dragonflyconfigdiff.Lines(old.Config, next.Config)...)
	}
	oldRoutes := byKey(old.Routes)
	nextRoutes := byKey(next.Routes)
	for _, r := range old.Routes {
		if _, ok := nextRoutes[r.Key]; !ok {
			lines = append(lines, routeName(r)+" is gone")
		}
	}
	for _, r := range next.Routes {
		o, existed := oldRoutes[r.Key]
		switch {
		case existed && o.Ready == r.Ready:
		case r.Ready:
			lines = append(lines, routeName(r)+" is ready")
		case existed:
			lines = append(lines, routeName(r)+" is not ready any more")
		default:
			lines = append(lines, routeName(r)+" is forming")
		}
	}
	return lines
}

func byKey(routes []dragonflyroute.Route) map[string]dragonflyroute.Route {
	m := map[string]dragonflyroute.Route{}
	for _, r := range routes {
		m[r.Key] = r
	}
	return m
}

func routeName(r dragonflyroute.Route) string {
	if r.Group == 0 {
		return fmt.Sprintf("instance %s of service %s in %s", r.Instance, r.Service, r.Zone)
	}
	return fmt.Sprintf("group %d of %s in %v", r.Group, r.Model, r.Zones)
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
