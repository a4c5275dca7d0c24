// Package dragonflyservicecommand provides the commands that set and remove plain
// services.
package dragonflyservicecommand

import (
	"strings"

	"dragonflyrelay.example/dragonflyctl/commands/dragonflychangecommand"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"github.com/urfave/cli/v3"
)

// Command returns the command "service".
func Command() *cli.Command {
	set := dragonflychangecommand.Command{
		Name: "set", Usage: "set a plain service; flags that are not given keep their value", ArgsUsage: "SERVICE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "idempotent-methods", Usage: "HTTP methods whose calls may be retried, separated by commas"},
			&cli.DurationFlag{Name: "timeout", Usage: "timeout of a call, 0 for the default of 30s"},
		},
		Build: buildSet,
	}
	remove := dragonflychangecommand.Command{Name: "remove", Usage: "remove a plain service", ArgsUsage: "SERVICE", Build: buildRemove}
	return &cli.Command{Name: "service", Usage: "set plain services", Commands: []*cli.Command{set.CLI(), remove.CLI()}}
}

func buildSet(cmd *cli.Command, c dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "SERVICE")
	if err != nil {
		return ch, err
	}
	s, _ := c.Services().Get(args[0])
	s = s.WithName(args[0])
	if cmd.IsSet("idempotent-methods") {
		methods, err := parseMethods(cmd.String("idempotent-methods"))
		if err != nil {
			return ch, err
		}
		s = s.WithIdempotentMethods(methods)
	}
	if cmd.IsSet("timeout") {
		if cmd.Duration("timeout") < 0 {
			return ch, dragonflyexit.Errorf(dragonflyexit.Usage, "--timeout must not be negative")
		}
		s = s.WithTimeout(dragonflyduration.Duration(cmd.Duration("timeout")))
	}
	return dragonflychange.Change{Kind: dragonflychange.SetService, Service: s}, nil
}

// parseMethods returns the HTTP methods of a comma-separated list in upper case,
// nil for an empty list.
func parseMethods(list string) (out []string, err error) {
	if list == "" {
		return nil, nil
	}
	for m := range strings.SplitSeq(list, ",") {
		m = strings.ToUpper(strings.TrimSpace(m))
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			return nil, dragonflyexit.Errorf(dragonflyexit.Usage, "--idempotent-methods: %q is not an HTTP method", m)
		}
		out = append(out, m)
	}
	return out, nil
}

func buildRemove(cmd *cli.Command, _ dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "SERVICE")
	if err != nil {
		return ch, err
	}
	return dragonflychange.Change{Kind: dragonflychange.RemoveService, Service: dragonflyservice.Service{}.WithName(args[0])}, nil
}
