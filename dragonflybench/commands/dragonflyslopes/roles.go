package dragonflyslopes

import (
	"context"
	"fmt"

	"dragonflyrelay.example/dragonflyagent/commands/dragonflyagentserver"
	"dragonflyrelay.example/dragonflyagent/values/dragonflyagentsettings"
	"dragonflyrelay.example/dragonflyentry/commands/dragonflyentryserver"
	"dragonflyrelay.example/dragonflyentry/queries/dragonflyentrysettings"
	"github.com/urfave/cli/v3"
)

// internalKey is the key with which the processes of a measurement authenticate to
// each other.
const internalKey = "measurement"

// controlFlags returns the flags with the addresses of control for agents and
// entries.
func controlFlags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "control-port", Usage: "first port of the control instances", Value: relayPort},
		&cli.IntFlag{Name: "controls", Usage: "number of control instances", Value: 3},
	}
}

// controlAddresses lists the control instances in the order in which server i uses
// them; each starts at another one, so that the servers are spread evenly.
func controlAddresses(cmd *cli.Command, i int) []string {
	n := cmd.Int("controls")
	addrs := make([]string, n)
	for k := range addrs {
		addrs[k] = loopback(cmd.Int("control-port"), (i+k)%n)
	}
	return addrs
}

func agents() *cli.Command {
	return &cli.Command{
		Name:  "agents",
		Usage: "run agents whose upstreams run in another process",
		Flags: append(append(partFlags(), controlFlags()...),
			&cli.IntFlag{Name: "first", Usage: "number of the first agent"},
			&cli.IntFlag{Name: "advertise-port", Usage: "first port that is advertised to other processes, if a relay listens there", Value: agentPort}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			first := cmd.Int("first")
			p, err := newPart(cmd, "agents", func(ctx context.Context, i int) error {
				i += first
				zone, domain := location(i)
				s := &dragonflyagentserver.Server{Settings: dragonflyagentsettings.Settings{
					Instance: instance(i), Region: region, Zone: zone, Domain: domain,
					Listen: loopback(agentPort, i), Advertise: loopback(cmd.Int("advertise-port"), i),
					UpstreamListen: loopback(announcePort, i),
					Control:        controlAddresses(cmd, i), Key: internalKey,
				}}
				return s.Run(ctx)
			})
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}
}

func entries() *cli.Command {
	return &cli.Command{
		Name:  "entries",
		Usage: "run entries",
		Flags: append(partFlags(), controlFlags()...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := newPart(cmd, "entries", func(ctx context.Context, i int) error {
				zone, _ := location(i * groupSize)
				s := &dragonflyentryserver.Server{Settings: dragonflyentrysettings.Settings{
					Name: fmt.Sprintf("entry-%03d", i), Listen: loopback(entryPort, i),
					Region: region, Zone: zone, Control: controlAddresses(cmd, i), Key: internalKey,
				}}
				return s.Run(ctx)
			})
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}
}
