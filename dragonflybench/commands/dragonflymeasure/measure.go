// Package dragonflymeasure provides the commands that send load and measure the
// response times.
package dragonflymeasure

import (
	"context"
	"fmt"
	"os"
	"time"

	"dragonflyrelay.example/dragonflybench/codecs/dragonflyresultjson"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyloadgenerator"
	"dragonflyrelay.example/dragonflybench/commands/dragonflyoverhead"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadfile"
	"dragonflyrelay.example/dragonflybench/queries/dragonflyloadtable"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Load returns the command that sends a load and checks the answers.
func Load() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a stated rate and check every token of the answers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file, JSON with comments"},
			&cli.StringFlag{Name: "base", Usage: "URL of an entry or an engine on a loopback address"},
			&cli.StringFlag{Name: "form", Usage: "entry or engine"},
			&cli.StringFlag{Name: "key", Usage: "bearer key, if the settings name no workspaces"},
			&cli.StringFlag{Name: "model", Usage: "model to ask for"},
			&cli.FloatFlag{Name: "rate", Usage: "arrivals a second"},
			&cli.DurationFlag{Name: "duration", Usage: "time during which requests arrive"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load"},
			outFlag(),
		},
		Action: runLoad,
	}
}

// Overhead returns the command that measures the latency that the system adds.
func Overhead() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "call a stand-in directly and through an entry and compare the times",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "direct", Usage: "URL of the engine", Required: true},
			&cli.StringFlag{Name: "through", Usage: "URL of the entry", Required: true},
			&cli.StringFlag{Name: "key", Usage: "bearer key"},
			&cli.StringFlag{Name: "model", Usage: "model to ask for"},
			&cli.FloatFlag{Name: "rate", Usage: "arrivals a second", Value: 100},
			&cli.IntFlag{Name: "rounds", Usage: "number of turns of each path", Value: 4},
			&cli.DurationFlag{Name: "turn", Usage: "length of a turn", Value: 5 * time.Second},
			&cli.IntFlag{Name: "tokens", Usage: "tokens of each answer", Value: 16},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load"},
			outFlag(),
		},
		Action: runOverhead,
	}
}

func outFlag() cli.Flag { return &cli.StringFlag{Name: "out", Usage: "file for the result in JSON"} }

func runLoad(ctx context.Context, cmd *cli.Command) (err error) {
	s := dragonflyloadsettings.Settings{Sigma: dragonflyloadfile.DefaultSigma}
	if path := cmd.String("settings"); path != "" {
		raw, err := os.ReadFile(path)
		if err != nil {
			return errors.WithMessage(err, "read settings")
		}
		if s, err = dragonflyloadfile.Read(raw); err != nil {
			return err
		}
	}
	if s, err = overrideLoad(cmd, s); err != nil {
		return err
	}
	g := dragonflyloadgenerator.Generator{Settings: s}
	r, err := g.Run(ctx)
	if err != nil {
		return err
	}
	raw, err := dragonflyresultjson.MarshalLoad(r)
	if err != nil {
		return err
	}
	fmt.Print(dragonflyloadtable.Load(r))
	if r.Outcomes["wrong"]+r.Outcomes["short"] > 0 {
		err = errors.New("some answers were wrong or short")
	}
	return saveResult(cmd.String("out"), raw, err)
}

// overrideLoad returns s with the values of the flags that are set in place of
// those of the settings file.
func overrideLoad(cmd *cli.Command, s dragonflyloadsettings.Settings) (_ dragonflyloadsettings.Settings, err error) {
	if cmd.IsSet("base") {
		s.Base = cmd.String("base")
	}
	if cmd.IsSet("form") {
		if s, err = dragonflyloadfile.WithForm(s, cmd.String("form")); err != nil {
			return s, err
		}
	}
	if cmd.IsSet("model") {
		s.Model = cmd.String("model")
	}
	if cmd.IsSet("rate") {
		s.Rate = cmd.Float("rate")
	}
	if cmd.IsSet("duration") {
		s.Duration = dragonflyduration.Duration(cmd.Duration("duration"))
	}
	if cmd.IsSet("seed") {
		s.Seed = cmd.Uint64("seed")
	}
	if cmd.IsSet("key") && len(s.Workspaces) == 0 {
		s = s.WithWorkspace("default", cmd.String("key"), 1)
	}
	if s.Rate < 0 || s.Duration < 0 {
		return s, errors.New("rate and duration must not be negative")
	}
	return s, dragonflyloadfile.CheckBase(s.Base)
}

func runOverhead(ctx context.Context, cmd *cli.Command) (err error) {
	for _, name := range []string{"direct", "through"} {
		if err := dragonflyloadfile.CheckBase(cmd.String(name)); err != nil {
			return errors.WithMessage(err, name)
		}
	}
	if cmd.Int("rounds") < 1 || cmd.Int("tokens") < 2 || cmd.Duration("turn") <= 0 || cmd.Float("rate") <= 0 {
		return errors.New("rounds, turn and rate must be above 0, and tokens above 1")
	}
	load := dragonflyloadsettings.Settings{
		Model: cmd.String("model"), Rate: cmd.Float("rate"), Seed: cmd.Uint64("seed"),
		AnswerMedian: cmd.Int("tokens"), PromptMedian: 320,
	}.WithWorkspace("overhead", cmd.String("key"), 1)
	r, err := dragonflyoverhead.Overhead{
		Load: load, Direct: cmd.String("direct"), Through: cmd.String("through"),
		Rounds: cmd.Int("rounds"), Turn: dragonflyduration.Duration(cmd.Duration("turn")),
	}.Run(ctx)
	if err != nil {
		return err
	}
	raw, err := dragonflyresultjson.MarshalOverhead(r)
	if err != nil {
		return err
	}
	fmt.Print(dragonflyloadtable.Overhead(r))
	return saveResult(cmd.String("out"), raw, nil)
}

// saveResult writes raw to the file at path, unless path is empty, and returns the error
// of writing or else runErr.
func saveResult(path string, raw []byte, runErr error) error {
	if path == "" {
		return runErr
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o644); err != nil {
		return errors.WithMessage(err, "write result")
	}
	return runErr
}
