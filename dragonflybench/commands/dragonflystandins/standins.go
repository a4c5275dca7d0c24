// Package dragonflystandins provides the commands that serve stand-ins for engines
// and for plain services.
package dragonflystandins

import (
	"context"
	"fmt"
	"log/slog"
	"os"

	"dragonflyrelay.example/dragonflybench/commands/dragonflyengine"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyplainservice"
	"dragonflyrelay.example/dragonflybench/queries/dragonflystandinsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyenginesettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyservicesettings"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Engine returns the command that serves one rank of a stand-in engine.
func Engine() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "serve one rank of a stand-in engine",
		Flags: append(commonFlags(), &cli.StringFlag{Name: "model", Usage: "model that the engine can load"},
			&cli.BoolFlag{Name: "standalone", Usage: "serve as a group of one without an order"}),
		Action: runEngine,
	}
}

// Service returns the command that serves a stand-in for a plain service.
func Service() *cli.Command {
	return &cli.Command{
		Name:   "service",
		Usage:  "serve a stand-in for a plain service",
		Flags:  append(commonFlags(), &cli.StringFlag{Name: "service", Usage: "name of the service"}),
		Action: runService,
	}
}

// commonFlags returns the flags of both stand-ins. Flags override the settings file.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings file, JSON with comments"},
		&cli.StringFlag{Name: "instance", Usage: "id of the instance"},
		&cli.StringFlag{Name: "listen", Usage: "IP and port to serve on"},
		&cli.StringFlag{Name: "agent", Usage: "IP and port of the agent to announce to"},
		&cli.StringFlag{Name: "zone", Usage: "availability zone"},
		&cli.StringFlag{Name: "region", Usage: "region"},
		&cli.StringFlag{Name: "domain", Usage: "fabric domain"},
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) (err error) {
	var s dragonflyenginesettings.Settings
	if path := cmd.String("settings"); path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return errors.WithMessage(err, "read settings")
		}
		if s, err = dragonflystandinsettings.Engine(raw); err != nil {
			return err
		}
	}
	overrideSettings(cmd, map[string]*string{
		"instance": &s.Instance, "listen": &s.Listen, "agent": &s.Agent,
		"zone": &s.Zone, "region": &s.Region, "domain": &s.Domain, "model": &s.Model,
	})
	s.Standalone = s.Standalone || cmd.Bool("standalone")
	if s.Instance == "" {
		return errors.New("instance is missing: set it by --instance or in the settings")
	}
	e := &dragonflyengine.Engine{Settings: s}
	return serve(ctx, "engine", s.Instance, e.Listen, e.Run)
}

func runService(ctx context.Context, cmd *cli.Command) (err error) {
	var s dragonflyservicesettings.Settings
	if path := cmd.String("settings"); path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return errors.WithMessage(err, "read settings")
		}
		if s, err = dragonflystandinsettings.Service(raw); err != nil {
			return err
		}
	}
	overrideSettings(cmd, map[string]*string{
		"instance": &s.Instance, "listen": &s.Listen, "agent": &s.Agent,
		"zone": &s.Zone, "region": &s.Region, "domain": &s.Domain, "service": &s.Service,
	})
	if s.Instance == "" || s.Service == "" {
		return errors.New("instance and service must be set by flags or in the settings")
	}
	p := &dragonflyplainservice.PlainService{Settings: s}
	return serve(ctx, "service", s.Instance, p.Listen, p.Run)
}

// serve runs the stand-in. It first prints the bound address on standard output,
// from which a script that uses port 0 reads the port.
func serve(ctx context.Context, kind, instance string, listen func() (string, error), run func(context.Context) error) error {
	addr, err := listen()
	if err != nil {
		return err
	}
	fmt.Println(addr)
	slog.Info("serving", "kind", kind, "instance", instance, "address", addr)
	return run(ctx)
}

func overrideSettings(cmd *cli.Command, fields map[string]*string) {
	for name, p := range fields {
		if cmd.IsSet(name) {
			*p = cmd.String(name)
		}
	}
}
