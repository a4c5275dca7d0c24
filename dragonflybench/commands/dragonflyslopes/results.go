package dragonflyslopes

import (
	"context"
	"fmt"
	"os"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyresultjson"
	"dragonflyrelay.example/dragonflybench/queries/dragonflycapacity"
	"dragonflyrelay.example/dragonflybench/queries/dragonflysamplefile"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyslopes"
	"dragonflyrelay.example/dragonflybench/values/dragonflysample"
	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func fit() *cli.Command {
	return &cli.Command{
		Name:      "fit",
		Usage:     "fit lines to the samples of one run",
		ArgsUsage: "FILE of samples of each part",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "driver", Usage: "file of samples of the part whose number of servers changed", Required: true},
			&cli.StringFlag{Name: "out", Usage: "file for the slopes", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			driver, err := dragonflysamplefile.Samples(cmd.String("driver"))
			if err != nil {
				return err
			}
			var parts [][]dragonflysample.Sample
			for _, path := range cmd.Args().Slice() {
				samples, err := dragonflysamplefile.Samples(path)
				if err != nil {
					return err
				}
				parts = append(parts, samples)
			}
			slopes := dragonflyslopes.Fit(driver, parts...)
			for _, s := range slopes {
				fmt.Printf("%-10s %-12s %-32s base %12.4g  per server %12.4g  residual %10.3g  %v\n",
					s.Driver, s.Part, s.Metric, s.Base, s.PerServer, s.Residual, s.Values)
			}
			raw, err := dragonflyresultjson.MarshalSlopes(slopes)
			if err != nil {
				return err
			}
			return errors.WithMessage(os.WriteFile(cmd.String("out"), raw, 0o644), "write slopes")
		},
	}
}

func table() *cli.Command {
	return &cli.Command{
		Name:      "table",
		Usage:     "print the resource usage of each role at the target size from files of slopes",
		ArgsUsage: "FILE of slopes",
		Flags:     []cli.Flag{&cli.IntFlag{Name: "entries-beside", Usage: "number of entries in the run with a growing number of agents", Value: 10}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			var slopes []dragonflyslope.Slope
			for _, path := range cmd.Args().Slice() {
				s, err := dragonflysamplefile.Slopes(path)
				if err != nil {
					return err
				}
				slopes = append(slopes, s...)
			}
			text, err := dragonflycapacity.Table(slopes, cmd.Int("entries-beside"))
			if err != nil {
				return err
			}
			fmt.Print(text)
			return nil
		},
	}
}
