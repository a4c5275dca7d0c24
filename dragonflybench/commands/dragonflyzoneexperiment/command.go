// Package dragonflyzoneexperiment measures the service that two classes of requests
// get while an availability zone is taken out of service and put back.
package dragonflyzoneexperiment

import (
	"context"
	"fmt"
	"os"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyresultjson"
	"dragonflyrelay.example/dragonflybench/commands/dragonflytestsystem"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadtable"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the command that runs the experiment.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "zone",
		Usage: "measure the service of two classes while a zone is out of service",
		Flags: []cli.Flag{
			&cli.FloatFlag{Name: "rate", Usage: "requests a second through all entries together", Value: 60},
			&cli.FloatFlag{Name: "first-share", Usage: "share of the first class in the requests", Value: 0.4},
			&cli.DurationFlag{Name: "phase", Usage: "length of each of the three phases", Value: 12 * time.Second},
			&cli.BoolFlag{Name: "stay", Usage: "keep the zone in service, to measure the capacity"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load", Value: 1},
			&cli.StringFlag{Name: "out", Usage: "file for the result"},
			&cli.StringFlag{Name: "note", Usage: "state of the machine, recorded in the result"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) (err error) {
	share := cmd.Float("first-share")
	if cmd.Float("rate") <= 0 || share <= 0 || share >= 1 || cmd.Duration("phase") <= 0 {
		return errors.New("rate and phase must be above 0, and first-share between 0 and 1")
	}
	folder, err := os.MkdirTemp("", "dragonflybench-zone-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	e := &experiment{
		system: &dragonflytestsystem.System{Folder: folder}, rate: cmd.Float("rate"), firstShare: share,
		phase: dragonflyduration.Duration(cmd.Duration("phase")), keepZone: cmd.Bool("stay"), seed: cmd.Uint64("seed"),
	}
	err = e.run(ctx)
	if stopErr := e.system.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	phases := e.phases()
	fmt.Print(dragonflyloadtable.Phases(phases))
	if cmd.String("out") == "" {
		return nil
	}
	raw, err := dragonflyresultjson.MarshalPhases(phases, cmd.String("note"))
	if err != nil {
		return err
	}
	return errors.WithMessage(os.WriteFile(cmd.String("out"), append(raw, '\n'), 0o644), "write the result")
}
