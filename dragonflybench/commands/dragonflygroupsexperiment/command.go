// Package dragonflygroupsexperiment measures the cost of failures in groups: the
// downtime of a group, and the healthy accelerators that serve in no group.
package dragonflygroupsexperiment

import (
	"context"
	"fmt"
	"os"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyresultjson"
	"dragonflyrelay.example/dragonflybench/commands/dragonflytestsystem"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadtable"
	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// repairTarget bounds the sum of the detection time and the decision time.
const repairTarget = 2 * dragonflyduration.Second

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "groups",
		Usage: "measure the cost of losing members, domains and repaired groups",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "trials", Usage: "number of trials of each fault", Value: 3},
			&cli.StringSliceFlag{Name: "fault", Usage: "faults to inject", Value: []string{memberDeath, headDeath, enginePause, domainLoss, secondLoss}},
			&cli.DurationFlag{Name: "observe", Usage: "longest time to wait for a repair", Value: 20 * time.Second},
			&cli.StringFlag{Name: "out", Usage: "file for the result"},
			&cli.StringFlag{Name: "note", Usage: "state of the machine, recorded in the result"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) (err error) {
	if cmd.Int("trials") < 1 || cmd.Duration("observe") <= 0 {
		return errors.New("trials and observe must be above 0")
	}
	var trials []dragonflygrouptrial.Trial
	for _, fault := range cmd.StringSlice("fault") {
		for range cmd.Int("trials") {
			got, err := runTrial(ctx, fault, cmd.Duration("observe"))
			if err != nil {
				return errors.WithMessagef(err, "fault %s", fault)
			}
			trials = append(trials, got...)
		}
	}
	fmt.Print(dragonflyloadtable.Groups(trials, repairTarget))
	if cmd.String("out") == "" {
		return nil
	}
	raw, err := dragonflyresultjson.MarshalTrials(trials, repairTarget, cmd.String("note"))
	if err != nil {
		return err
	}
	return errors.WithMessage(os.WriteFile(cmd.String("out"), append(raw, '\n'), 0o644), "write the result")
}

// runTrial injects a fault into a new system, so that no trial depends on the state
// that an earlier one left.
func runTrial(ctx context.Context, fault string, observe time.Duration) (trials []dragonflygrouptrial.Trial, err error) {
	f, ok := faults[fault]
	if !ok {
		return nil, errors.New("unknown fault")
	}
	folder, err := os.MkdirTemp("", "dragonflybench-groups-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	e := &experiment{system: &dragonflytestsystem.System{Folder: folder}, domains: map[string][]string{}, observe: observe}
	if err = e.start(ctx); err == nil {
		trials, err = f(ctx, e)
	}
	if stopErr := e.system.Stop(); err == nil {
		err = stopErr
	}
	return trials, err
}
