// Package dragonflyslopes provides the commands that measure how the resource usage
// of each role grows with the number of servers. Each role runs in a process of
// its own, so that its processor time and memory are measured separately.
package dragonflyslopes

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycountingrelay"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyengine"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyslopepart"
	"dragonflyrelay.example/dragonflybench/values/dragonflybatchsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflypool"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// groupSize is the number of instances of a replica in a system of the target size.
const groupSize = 8

// Command returns the command slopes with its subcommands.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how the resource usage of each role grows with the number of servers",
		Commands: []*cli.Command{
			control(), configure(), upstreams(), agents(), entries(), relay(), fit(), table(),
		},
	}
}

// partFlags returns the flags of all commands that run servers.
func partFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "out", Usage: "file for the samples", Required: true},
		&cli.StringFlag{Name: "name", Usage: "name of the part in the samples; default is the name of the command"},
		&cli.IntSliceFlag{Name: "sizes", Usage: "numbers of servers, ascending", Value: []int{25, 50, 100, 200}},
		&cli.DurationFlag{Name: "hold", Usage: "time at each size; 0 runs the first size until the process is stopped"},
	}
}

// newPart returns the part with the settings of the flags.
func newPart(cmd *cli.Command, name string, serve func(ctx context.Context, i int) error) (*dragonflyslopepart.Part, error) {
	sizes := cmd.IntSlice("sizes")
	for i, n := range sizes {
		if n < 1 || i > 0 && n <= sizes[i-1] {
			return nil, errors.New("sizes must be above 0 and ascending")
		}
	}
	if cmd.IsSet("name") {
		name = cmd.String("name")
	}
	return &dragonflyslopepart.Part{
		Name: name, Out: cmd.String("out"), Sizes: sizes,
		Hold: dragonflyduration.Duration(cmd.Duration("hold")), Serve: serve,
	}, nil
}

// loopback returns the address of port base+i.
func loopback(base, i int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+i)) }

// location returns the zone and the fabric domain of server i. A domain has the
// instances of two groups; the domains alternate between three zones.
func location(i int) (zone, domain string) {
	d := i / (2 * groupSize)
	return fmt.Sprintf("zone-%d", d%3), fmt.Sprintf("domain-%d", d)
}

func upstreams() *cli.Command {
	return &cli.Command{
		Name:  "upstreams",
		Usage: "run stand-in engines that announce themselves to the agents",
		Flags: append(partFlags(),
			&cli.IntFlag{Name: "port", Usage: "first port of the engines", Value: enginePort},
			&cli.IntFlag{Name: "agent-port", Usage: "first port at which the agents accept announcements", Value: announcePort}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := newPart(cmd, "upstreams", func(ctx context.Context, i int) error {
				zone, domain := location(i)
				e := &dragonflyengine.Engine{Settings: dragonflyenginesettings.Settings{
					Instance: instance(i), Listen: loopback(cmd.Int("port"), i), Agent: loopback(cmd.Int("agent-port"), i),
					Region: region, Zone: zone, Domain: domain, ChecksFencing: true,
					Batch: dragonflybatchsettings.Settings{MaxBatch: 32},
				}}
				return e.Run(ctx)
			})
			if err != nil {
				return err
			}
			return p.Run(ctx)
		},
	}
}

// First ports of the parts, below the range of ephemeral ports.
const (
	controlPort  = 10000
	agentPort    = 11000
	announcePort = 12000
	enginePort   = 13000
	entryPort    = 14000
	relayPort    = 15000
)

const region = "region-a"

func instance(i int) string { return fmt.Sprintf("instance-%04d", i) }

func relay() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "forward connections to servers and count their bytes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "file for the samples", Required: true},
			&cli.StringFlag{Name: "name", Usage: "name of the part in the samples", Required: true},
			&cli.IntFlag{Name: "port", Usage: "first port to listen on", Value: relayPort},
			&cli.IntFlag{Name: "target-port", Usage: "first port of the servers", Value: controlPort},
			&cli.IntFlag{Name: "count", Usage: "number of servers", Value: 3},
		},
		Action: runRelay,
	}
}

func runRelay(ctx context.Context, cmd *cli.Command) error {
	count := cmd.Int("count")
	if count < 1 {
		return errors.New("count must be above 0")
	}
	pool := &dragonflypool.Pool{Name: "relay", Size: relayPoolSize}
	relays := make([]*dragonflycountingrelay.Relay, count)
	for i := range relays {
		relays[i] = &dragonflycountingrelay.Relay{
			Listen: loopback(cmd.Int("port"), i), Target: loopback(cmd.Int("target-port"), i), Pool: pool,
		}
	}
	p := &dragonflyslopepart.Part{
		Name: cmd.String("name"), Out: cmd.String("out"), Sizes: []int{count},
		Serve: func(ctx context.Context, i int) error { return relays[i].Run(ctx) },
		Counts: func() (in, out, connections int64) {
			for _, r := range relays {
				a, b, c := r.Counts()
				in, out, connections = in+a, out+b, connections+c
			}
			return in, out, connections
		},
	}
	return p.Run(ctx)
}

// relayPoolSize bounds the tasks of one relay process; a connection takes two.
const relayPoolSize = 8192
