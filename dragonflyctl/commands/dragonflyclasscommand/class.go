// Package dragonflyclasscommand provides the commands that set and remove classes
// of requests.
package dragonflyclasscommand

import (
	"math"

	"dragonflyrelay.example/dragonflyctl/commands/dragonflychangecommand"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"github.com/urfave/cli/v3"
)

// Command returns the command "class".
func Command() *cli.Command {
	set := dragonflychangecommand.Command{
		Name: "set", Usage: "set the targets of a class; flags that are not given keep their value", ArgsUsage: "CLASS",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "priority", Usage: "rank in which classes are served; 0 is served first and loses capacity last"},
			&cli.FloatFlag{Name: "answered", Usage: "target share of requests that are answered, in percent"},
			&cli.DurationFlag{Name: "first-token", Usage: "target time until the first token, for example 410ms"},
			&cli.DurationFlag{Name: "gap", Usage: "target time between tokens, for example 25ms"},
			&cli.FloatFlag{Name: "complete", Usage: "target share of answers that are complete, in percent"},
			&cli.DurationFlag{Name: "deadline", Usage: "time after which an answer is useless, 0 for none"},
			&cli.BoolFlag{Name: "cross-domain", Usage: "allow groups that span several fabric domains, which are slower"},
		},
		Build: buildSet,
	}
	remove := dragonflychangecommand.Command{Name: "remove", Usage: "remove a class", ArgsUsage: "CLASS", Build: buildRemove}
	return &cli.Command{Name: "class", Usage: "set the targets of classes of requests", Commands: []*cli.Command{set.CLI(), remove.CLI()}}
}

func buildSet(cmd *cli.Command, c dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "CLASS")
	if err != nil {
		return ch, err
	}
	class, _ := c.Classes().Get(args[0])
	class = class.WithName(args[0])
	if cmd.IsSet("priority") {
		if cmd.Int("priority") < 0 {
			return ch, dragonflyexit.Errorf(dragonflyexit.Usage, "--priority must not be negative")
		}
		class = class.WithPriority(cmd.Int("priority"))
	}
	for flag, with := range map[string]func(dragonflyclass.Class, int) dragonflyclass.Class{
		"answered": dragonflyclass.Class.WithAnswered, "complete": dragonflyclass.Class.WithComplete,
	} {
		if !cmd.IsSet(flag) {
			continue
		}
		perMille, err := parsePercent(flag, cmd.Float(flag))
		if err != nil {
			return ch, err
		}
		class = with(class, perMille)
	}
	for flag, with := range map[string]func(dragonflyclass.Class, dragonflyduration.Duration) dragonflyclass.Class{
		"first-token": dragonflyclass.Class.WithFirstToken, "gap": dragonflyclass.Class.WithGap, "deadline": dragonflyclass.Class.WithDeadline,
	} {
		if !cmd.IsSet(flag) {
			continue
		}
		if cmd.Duration(flag) < 0 {
			return ch, dragonflyexit.Errorf(dragonflyexit.Usage, "--%s must not be negative, but it is %s", flag, cmd.Duration(flag))
		}
		class = with(class, dragonflyduration.Duration(cmd.Duration(flag)))
	}
	if cmd.IsSet("cross-domain") {
		class = class.WithCrossDomain(cmd.Bool("cross-domain"))
	}
	return dragonflychange.Change{Kind: dragonflychange.SetClass, Class: class}, nil
}

// parsePercent converts a percentage with at most one decimal to per mille. The
// error names flag.
func parsePercent(flag string, percent float64) (int, error) {
	n := math.Round(percent * 10)
	if !(percent >= 0 && percent <= 100) || math.Abs(percent*10-n) > 1e-6 {
		return 0, dragonflyexit.Errorf(dragonflyexit.Usage, "--%s must be between 0 and 100 with at most one decimal, not %v", flag, percent)
	}
	return int(n), nil
}

func buildRemove(cmd *cli.Command, _ dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "CLASS")
	if err != nil {
		return ch, err
	}
	return dragonflychange.Change{Kind: dragonflychange.RemoveClass, Class: dragonflyclass.Class{}.WithName(args[0])}, nil
}
