// Package dragonflychecksettings provides the command that checks a settings file.
package dragonflychecksettings

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadfile"
	"dragonflyrelay.example/dragonflybench/queries/dragonflystandinsettings"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// checks maps each kind of settings file to the function that checks it.
var checks = map[string]func(raw []byte) error{
	"engine": func(raw []byte) error {
		_, err := dragonflystandinsettings.Engine(raw)
		return err
	},
	"load": func(raw []byte) error {
		_, err := dragonflyloadfile.Read(raw)
		return err
	},
	"service": func(raw []byte) error {
		_, err := dragonflystandinsettings.Service(raw)
		return err
	},
}

// Command returns the command that checks a settings file without applying it.
func Command() *cli.Command {
	return &cli.Command{
		Name:      "check-settings",
		Usage:     "check a settings file and list all its errors",
		ArgsUsage: "KIND FILE",
		Action: func(_ context.Context, cmd *cli.Command) (err error) {
			defer func() { err = errors.WithMessage(err, "check settings") }()
			check, ok := checks[cmd.Args().First()]
			if !ok || cmd.Args().Len() != 2 {
				return errors.Errorf("expected a kind (%s) and a file", kinds())
			}
			raw, err := os.ReadFile(cmd.Args().Get(1))
			if err != nil {
				return err
			}
			if err := check(raw); err != nil {
				return err
			}
			fmt.Println("ok")
			return nil
		},
	}
}

func kinds() string {
	names := make([]string, 0, len(checks))
	for name := range checks {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
