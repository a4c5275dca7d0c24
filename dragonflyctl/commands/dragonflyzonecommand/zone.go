// Package dragonflyzonecommand provides the commands that take availability zones
// out of service and bring them back.
package dragonflyzonecommand

import (
	"dragonflyrelay.example/dragonflyctl/commands/dragonflychangecommand"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyzone"
	"github.com/urfave/cli/v3"
)

// Command returns the command "zone".
func Command() *cli.Command {
	out := dragonflychangecommand.Command{
		Name: "out", Usage: "take a zone out of service", ArgsUsage: "ZONE",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "notice", Usage: "time until the zone goes out of service, so that replacements can load elsewhere (default: at once)"}},
		Build: buildOut,
	}
	in := dragonflychangecommand.Command{Name: "in", Usage: "bring a zone back into service, or cancel a notice", ArgsUsage: "ZONE", Build: buildIn}
	return &cli.Command{Name: "zone", Usage: "take zones out of service and bring them back", Commands: []*cli.Command{out.CLI(), in.CLI()}}
}

// buildOut returns a change that takes the zone out of service at once. With a
// notice, the zone stays in service until control takes it out at the end of the
// notice.
func buildOut(cmd *cli.Command, _ dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "ZONE")
	if err != nil {
		return ch, err
	}
	notice := dragonflyduration.Duration(cmd.Duration("notice"))
	if notice < 0 {
		return ch, dragonflyexit.Errorf(dragonflyexit.Usage, "--notice must not be negative")
	}
	z := dragonflyzone.Zone{}.WithName(args[0]).WithOut(notice == 0).WithNotice(notice)
	return dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: z}, nil
}

func buildIn(cmd *cli.Command, _ dragonflyconfig.Config) (ch dragonflychange.Change, err error) {
	args, err := dragonflysession.Args(cmd, "ZONE")
	if err != nil {
		return ch, err
	}
	return dragonflychange.Change{Kind: dragonflychange.SetZone, Zone: dragonflyzone.Zone{}.WithName(args[0])}, nil
}
