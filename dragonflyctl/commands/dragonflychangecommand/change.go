// Package dragonflychangecommand implements what all commands that change the
// configuration have in common: they read the configuration, build a change, and
// propose it or, in a dry run, show its effect.
package dragonflychangecommand

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyoutput"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/queries/dragonflychangepreview"
	"dragonflyrelay.example/library/queries/dragonflyconfigdiff"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"github.com/urfave/cli/v3"
)

// Command describes a command that makes one change to the configuration.
type Command struct {
	// Name, Usage and ArgsUsage are shown in the help.
	Name, Usage, ArgsUsage string
	// Flags are the flags that describe the change itself.
	Flags []cli.Flag
	// Build returns the change to c, the configuration in force, that the
	// arguments and flags describe. It leaves id, operator, time and base unset.
	Build func(cmd *cli.Command, c dragonflyconfig.Config) (dragonflychange.Change, error)
}

// CLI returns the command with the flags that all changes share.
func (c Command) CLI() *cli.Command {
	flags := append(dragonflysession.Flags(), c.Flags...)
	flags = append(flags,
		&cli.StringFlag{Name: "operator", Usage: "operator recorded with the change (default: the operator in the settings)"},
		&cli.Uint64Flag{Name: "base", HideDefault: true, Usage: "configuration version that the change is based on (default: the version just read)"},
		&cli.StringFlag{Name: "change-id", Usage: "id of a change whose outcome is unknown, to send it again (default: a new id)"},
		&cli.BoolFlag{Name: "dry-run", Usage: "show the difference and change nothing"},
	)
	return &cli.Command{Name: c.Name, Usage: c.Usage, ArgsUsage: c.ArgsUsage, Flags: flags, Action: dragonflysession.Action(c.run)}
}

func (c Command) run(ctx context.Context, cmd *cli.Command, s dragonflysession.Session) error {
	operator := cmd.String("operator")
	if operator == "" {
		operator = s.Settings.Operator
	}
	if operator == "" {
		return dragonflyexit.Errorf(dragonflyexit.Usage, "%s: --operator is missing and the settings contain no operator", cmd.FullName())
	}
	// Reports errors in the command line before control is contacted.
	if _, err := c.Build(cmd, dragonflyconfig.Config{}); err != nil {
		return err
	}
	st, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	ch, err := c.Build(cmd, st.Config)
	if err != nil {
		return err
	}
	ch.ID, ch.Operator, ch.At, ch.Base = cmd.String("change-id"), operator, time.Now().UnixNano(), st.Config.Version()
	if cmd.IsSet("base") {
		ch.Base = cmd.Uint64("base")
	}
	diff := dragonflyconfigdiff.Lines(st.Config, dragonflychangepreview.Apply(st.Config, ch))
	if cmd.Bool("dry-run") {
		return reportDryRun(s.Output, ch, st.Config.Version(), diff)
	}
	if ch.ID == "" {
		if ch.ID, err = newID(); err != nil {
			return err
		}
	}
	res, err := s.Client.Propose(ctx, ch)
	if err != nil {
		return err
	}
	return reportResult(s.Output, ch, res, diff)
}

func newID() (string, error) {
	raw := make([]byte, 16)
	if _, err := rand.Read(raw); err != nil {
		return "", err
	}
	return hex.EncodeToString(raw), nil
}

func reportDryRun(out dragonflyoutput.Output, ch dragonflychange.Change, version uint64, diff []string) error {
	if ch.Base != version {
		return dragonflyexit.Errorf(dragonflyexit.Conflict, "conflict: the change is based on version %d, but version %d is in force\nthe change would now do:\n%s", ch.Base, version, indent(diff))
	}
	if out.JSON {
		return out.Fields([]string{"version", "diff"}, []any{version, nonNil(diff)})
	}
	if len(diff) == 0 {
		return out.Lines([]string{fmt.Sprintf("version %d: the change would change nothing", version)})
	}
	return out.Lines(append([]string{fmt.Sprintf("version %d would become %d:", version, version+1)}, diff...))
}

// reportResult writes the result of an accepted change to out and returns an error
// with an exit code for every other outcome.
func reportResult(out dragonflyoutput.Output, ch dragonflychange.Change, res dragonflyresult.Result, diff []string) error {
	switch res.Outcome {
	case dragonflyresult.Accepted:
		if out.JSON {
			return out.Fields([]string{"outcome", "version", "change-id", "diff"}, []any{"accepted", res.Version, ch.ID, nonNil(diff)})
		}
		return out.Lines(append([]string{fmt.Sprintf("accepted: version %d, change id %s", res.Version, ch.ID)}, diff...))
	case dragonflyresult.Conflict:
		return dragonflyexit.Errorf(dragonflyexit.Conflict,
			"conflict: the change is based on version %d, but version %d is in force; nothing was changed\nyour change:\n%s\nin force now:\n%s\nCheck the history, then propose a new change.",
			res.Base, res.Version, indent(diff), indent(strings.Split(orNone(res.Current), "\n")))
	case dragonflyresult.Unavailable:
		return dragonflyexit.Errorf(dragonflyexit.Unknown,
			"unknown outcome: the change may or may not have been made (%s)\nSend it again with --change-id %s to learn the outcome; it is made at most once.", res.Message, ch.ID)
	case dragonflyresult.NotRun:
		return dragonflyexit.Errorf(dragonflyexit.Failed, "not run: nothing was changed (%s)", res.Message)
	default:
		return dragonflyexit.Errorf(dragonflyexit.Failed, "refused: %s; nothing was changed", res.Message)
	}
}

func indent(lines []string) string {
	if len(lines) == 0 {
		lines = []string{"(no difference)"}
	}
	return "  " + strings.Join(lines, "\n  ")
}

func orNone(s string) string {
	if s == "" {
		return "(control gave no description)"
	}
	return s
}

func nonNil(lines []string) []string {
	if lines == nil {
		return []string{}
	}
	return lines
}
