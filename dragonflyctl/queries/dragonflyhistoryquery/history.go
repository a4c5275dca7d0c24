// Package dragonflyhistoryquery provides the command that lists accepted changes.
package dragonflyhistoryquery

import (
	"context"
	"time"

	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"github.com/urfave/cli/v3"
)

var columns = []string{"version", "at", "operator", "change-id", "summary"}

// Command returns the command "history".
func Command() *cli.Command {
	flags := append(dragonflysession.Flags(), &cli.IntFlag{Name: "last", Value: 20, Usage: "number of changes, 0 for all that control keeps"})
	return &cli.Command{
		Name: "history", Usage: "list the latest accepted changes, oldest first", Flags: flags,
		Action: dragonflysession.Action(run),
	}
}

func run(ctx context.Context, cmd *cli.Command, s dragonflysession.Session) error {
	if _, err := dragonflysession.Args(cmd); err != nil {
		return err
	}
	last := cmd.Int("last")
	if last < 0 {
		return dragonflyexit.Errorf(dragonflyexit.Usage, "--last must not be negative")
	}
	st, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	return s.Output.Rows(columns, rows(st.History, last))
}

// rows returns a row for each of the last entries, for all entries if last is 0.
func rows(entries []dragonflyhistory.Entry, last int) (rows [][]any) {
	if last > 0 && last < len(entries) {
		entries = entries[len(entries)-last:]
	}
	for _, e := range entries {
		at := time.Unix(0, e.At).UTC().Format(time.RFC3339)
		rows = append(rows, []any{e.Version, at, e.Operator, e.ChangeID, e.Summary})
	}
	return rows
}
