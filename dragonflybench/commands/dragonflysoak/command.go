package dragonflysoak

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Command returns the subcommand, which fails if a promise was broken.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "runs the built programs under random faults and checks the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "`folder` of the built programs", Value: "target"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first schedule", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds to run, one after the other", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "how long faults are injected", Value: 20 * time.Second},
			&cli.StringFlag{Name: "keep", Usage: "`folder` that takes the logs; a temporary one is removed after a run without a breach"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			failed := 0
			for i := range cmd.Int("seeds") {
				breaches, err := runSeed(ctx, cmd, cmd.Uint64("seed")+uint64(i))
				if err != nil {
					return err
				}
				if breaches > 0 {
					failed++
				}
			}
			if failed > 0 {
				return errors.Errorf("%d seeds broke a promise", failed)
			}
			return nil
		},
	}
}

func runSeed(ctx context.Context, cmd *cli.Command, seed uint64) (breaches int, err error) {
	folder := cmd.String("keep")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	}
	s := &Soak{
		Programs: cmd.String("programs"), Folder: folder, Seed: seed, For: cmd.Duration("for"),
		Log: func(line string) { fmt.Println(line) },
	}
	found, err := s.Run(ctx)
	if err != nil {
		return 0, errors.WithMessagef(err, "logs are in %s", folder)
	}
	answers := s.Answers()
	for _, outcome := range slices.Sorted(maps.Keys(answers)) {
		fmt.Printf("%-20s %d\n", outcome, answers[outcome])
	}
	for _, b := range found {
		fmt.Println("broken:", b)
	}
	fmt.Printf("seed %d: %d promises broken\n", seed, len(found))
	if len(found) > 0 {
		fmt.Println("logs are in", folder)
		return len(found), nil
	}
	if cmd.String("keep") == "" {
		return 0, os.RemoveAll(folder)
	}
	return 0, nil
}
