// Package dragonflysettingscommand builds subcommands that read a settings file, so
// that all programs use the same flag and the same checks.
package dragonflysettingscommand

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Command is a subcommand with a required flag --settings. S is the type of the
// settings.
type Command[S any] struct {
	// Name and Usage are the name and the usage text of the subcommand.
	Name, Usage string
	// Load reads and checks the file. Its error lists all faults.
	Load func(path string) (s S, err error)
	// Run runs the subcommand with the settings.
	Run func(ctx context.Context, s S) error
}

// CLI returns the subcommand for the command tree.
func (c Command[S]) CLI() *cli.Command {
	return &cli.Command{
		Name:  c.Name,
		Usage: c.Usage,
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `file`, JSON with comments", Required: true}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := c.Load(cmd.String("settings"))
			if err != nil {
				return err
			}
			return c.Run(ctx, s)
		},
	}
}

// Check returns the subcommand check-settings, which prints the path of a valid file
// and fails with a list of all faults for an invalid one.
func Check[S any](load func(path string) (s S, err error)) *cli.Command {
	var path string
	return Command[S]{
		Name:  "check-settings",
		Usage: "checks a settings file and lists all its faults",
		Load: func(p string) (S, error) {
			path = p
			return load(p)
		},
		Run: func(context.Context, S) error {
			_, err := fmt.Println(path, "is valid")
			return err
		},
	}.CLI()
}
