package dragonflymeasure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflybench/commands/dragonflycallgenerator"
	"dragonflyrelay.example/dragonflybench/queries/dragonflycallcheck"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadfile"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Calls returns the command that sends non-idempotent calls to a plain service and
// checks that the runs which the service recorded agree with the outcomes that the
// callers observed.
func Calls() *cli.Command {
	return &cli.Command{
		Name:  "calls",
		Usage: "call a plain service through an entry and compare the outcomes with what ran",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "base", Usage: "URL of the entry", Required: true},
			&cli.StringFlag{Name: "service", Usage: "name of the service", Required: true},
			&cli.StringSliceFlag{Name: "record", Usage: "URL of each stand-in of the service", Required: true},
			&cli.StringFlag{Name: "key", Usage: "bearer key"},
			&cli.FloatFlag{Name: "rate", Usage: "calls a second", Value: 20},
			&cli.DurationFlag{Name: "duration", Usage: "time during which calls are sent", Value: 10 * time.Second},
			&cli.IntFlag{Name: "keyed", Usage: "number of calls in ten that have an idempotency key", Value: 5},
			&cli.Uint64Flag{Name: "seed", Usage: "makes the bodies unique among runs"},
		},
		Action: runCalls,
	}
}

func runCalls(ctx context.Context, cmd *cli.Command) error {
	for _, url := range append(cmd.StringSlice("record"), cmd.String("base")) {
		if err := dragonflyloadfile.CheckBase(url); err != nil {
			return err
		}
	}
	if cmd.Float("rate") <= 0 || cmd.Duration("duration") <= 0 {
		return errors.New("rate and duration must be above 0")
	}
	g := dragonflycallgenerator.Generator{
		Base: strings.TrimSuffix(cmd.String("base"), "/") + "/services/" + cmd.String("service"), Key: cmd.String("key"),
		Rate: cmd.Float("rate"), Duration: dragonflyduration.Duration(cmd.Duration("duration")),
		Seed: cmd.Uint64("seed"), KeyedPerTen: cmd.Int("keyed"),
	}
	outcomes, err := g.Run(ctx)
	if err != nil {
		return err
	}
	runs, err := dragonflycallgenerator.Runs(ctx, cmd.StringSlice("record")...)
	if err != nil {
		return err
	}
	counts := map[string]int{}
	for _, o := range outcomes {
		counts[o.Kind.Name()]++
	}
	fmt.Println("calls", len(outcomes), "outcomes", counts)
	violations := dragonflycallcheck.Violations(outcomes, runs)
	for _, v := range violations {
		fmt.Println(v)
	}
	if len(violations) > 0 {
		return errors.Errorf("%d violations", len(violations))
	}
	return nil
}
