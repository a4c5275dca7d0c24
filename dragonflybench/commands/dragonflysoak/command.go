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

// Command returns the subcommand, which fails if a guarantee was violated.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "runs the built programs under random faults and checks the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "programs", Usage: "`folder` of the built programs", Value: "target"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first schedule", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of consecutive seeds to run", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "duration of the fault injection", Value: 20 * time.Second},
			&cli.StringFlag{Name: "keep", Usage: "`folder` for the logs; by default, a temporary one that is removed after a run without violations"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			failed := 0
			for i := range cmd.Int("seeds") {
				violations, err := runSeed(ctx, cmd, cmd.Uint64("seed")+uint64(i))
				if err != nil {
					return err
				}
				if violations > 0 {
					failed++
				}
			}
			if failed > 0 {
				return errors.Errorf("%d seeds violated a guarantee", failed)
			}
			return nil
		},
	}
}

// runSeed runs the soak with one seed, prints its results and returns the number of
// violations.
func runSeed(ctx context.Context, cmd *cli.Command, seed uint64) (violations int, err error) {
	folder := cmd.String("keep")
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	}
	s := &Soak{
		Programs: cmd.String("programs"), Folder: folder, Seed: seed, InjectionTime: cmd.Duration("for"),
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
	for _, v := range found {
		fmt.Println("broken:", v)
	}
	fmt.Printf("seed %d: %d guarantees violated\n", seed, len(found))
	if len(found) > 0 {
		fmt.Println("logs are in", folder)
		return len(found), nil
	}
	if cmd.String("keep") == "" {
		return 0, os.RemoveAll(folder)
	}
	return 0, nil
}
