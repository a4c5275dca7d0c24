// Package dragonflyupstreamsquery provides the command that lists what keeps requests from
// upstreams.
package dragonflyupstreamsquery

import (
	"context"

	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/queries/dragonflydescription"
	"dragonflyrelay.example/library/values/dragonflystatus"
	"github.com/urfave/cli/v3"
)

var columns = []string{"upstream", "service", "condition", "since", "reason"}

// Command returns the command "upstreams".
func Command() *cli.Command {
	return &cli.Command{
		Name: "upstreams", Usage: "list the upstreams that leave, pause or are limited, and the parts of prompts in quarantine",
		Flags: dragonflysession.Flags(), Action: dragonflysession.Action(run),
	}
}

func run(ctx context.Context, cmd *cli.Command, s dragonflysession.Session) error {
	if _, err := dragonflysession.Args(cmd); err != nil {
		return err
	}
	st, err := s.Client.Status(ctx)
	if err != nil {
		return err
	}
	return s.Output.Rows(columns, rows(st))
}

func rows(st dragonflystatus.Status) (rows [][]any) {
	for _, c := range st.Conditions {
		rows = append(rows, []any{c.Upstream, c.Service, c.Kind.String(), dragonflydescription.Duration(c.Since / dragonflyduration.Millisecond * dragonflyduration.Millisecond), c.Reason})
	}
	return rows
}
