// Package dragonflytimelinequery provides the command that merges timeline files
// and shows the events of one request, group, instance, zone or change.
package dragonflytimelinequery

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"dragonflyrelay.example/dragonflyctl/common/dragonflyexit"
	"dragonflyrelay.example/dragonflyctl/common/dragonflyoutput"
	"dragonflyrelay.example/dragonflyctl/common/dragonflysession"
	"dragonflyrelay.example/dragonflyctl/queries/dragonflytimelinepage"
	"dragonflyrelay.example/library/common/dragonflytimeline"
	"dragonflyrelay.example/library/queries/dragonflyoccurrences"
	"dragonflyrelay.example/library/values/dragonflyoccurrence"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

const (
	// maxLineBytes bounds one line of a file; longer lines are an error.
	maxLineBytes = 1 << 20
	// maxEvents bounds the events that are held in memory and drawn.
	maxEvents = 50_000
)

var columns = []string{"at", "offset", "process", "event", "request", "group", "instance", "zone", "change", "detail"}

// Command returns the command "timeline".
func Command() *cli.Command {
	return &cli.Command{
		Name: "timeline", Usage: "merge timeline files and show the events of one request, group, instance, zone or change", ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			dragonflysession.OutputFlag(),
			&cli.StringFlag{Name: "request", Usage: "show only events of this request"},
			&cli.Uint64Flag{Name: "group", Usage: "show only events of this group"},
			&cli.StringFlag{Name: "instance", Usage: "show only events of this instance"},
			&cli.StringFlag{Name: "zone", Usage: "show only events of this zone"},
			&cli.StringFlag{Name: "change", Usage: "show only events of this change"},
			&cli.StringFlag{Name: "event", Usage: "show only events of this name"},
			&cli.StringFlag{Name: "html", Usage: "write an HTML page with a drawing of the events to this file", TakesFile: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error { return dragonflysession.WithExitCode(run(cmd)) },
	}
}

func run(cmd *cli.Command) error {
	files := cmd.Args().Slice()
	if len(files) == 0 {
		return dragonflyexit.Errorf(dragonflyexit.Usage, "%s: argument FILE is missing", cmd.FullName())
	}
	ids := dragonflyoccurrence.Occurrence{
		Event: cmd.String("event"), Request: cmd.String("request"), Group: cmd.Uint64("group"),
		Instance: cmd.String("instance"), Zone: cmd.String("zone"), Change: cmd.String("change"),
	}
	events, warnings, err := readEvents(files, ids)
	if err != nil {
		return err
	}
	for _, w := range warnings {
		_, _ = fmt.Fprintln(cmd.Root().ErrWriter, w)
	}
	if path := cmd.String("html"); path != "" {
		return writePage(path, dragonflytimelinepage.Page{Title: title(ids), Events: events})
	}
	return writeTable(dragonflysession.Output(cmd), events)
}

// readEvents returns the events of all files that match ids, sorted by time, and a
// warning for each file with lines that could not be parsed. More than maxEvents
// matching events are an error.
func readEvents(files []string, ids dragonflyoccurrence.Occurrence) (events []dragonflyoccurrence.Occurrence, warnings []string, err error) {
	for _, path := range files {
		badLines := 0
		err := eachLine(path, func(raw []byte) error {
			o, err := dragonflytimeline.ParseLine(raw)
			switch {
			case err != nil:
				badLines++
			case dragonflyoccurrences.Match(o, ids):
				events = append(events, o)
			}
			if len(events) > maxEvents {
				return errors.Errorf("more than %d events match; select fewer", maxEvents)
			}
			return nil
		})
		if err != nil {
			return nil, nil, err
		}
		if badLines > 0 {
			warnings = append(warnings, fmt.Sprintf("%s: %d lines are damaged and were skipped", path, badLines))
		}
	}
	return dragonflyoccurrences.Sort(events), warnings, nil
}

func eachLine(path string, line func(raw []byte) error) (err error) {
	defer func() { err = errors.WithMessage(err, path) }()
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if err := line(lines.Bytes()); err != nil {
			return err
		}
	}
	return lines.Err()
}

func writeTable(out dragonflyoutput.Output, events []dragonflyoccurrence.Occurrence) error {
	rows := make([][]any, 0, len(events))
	for _, o := range events {
		at := time.Unix(0, o.At).UTC().Format("2006-01-02T15:04:05.000000Z")
		offset := "+" + time.Duration(o.At-events[0].At).Round(time.Microsecond).String()
		var group any = ""
		if o.Group != 0 {
			group = o.Group
		}
		rows = append(rows, []any{at, offset, o.Process, o.Event, o.Request, group, o.Instance, o.Zone, o.Change, o.Detail})
	}
	return out.Rows(columns, rows)
}

// title returns the heading of the page, which names the selected ids.
func title(ids dragonflyoccurrence.Occurrence) string {
	var parts []string
	for _, p := range [][2]string{{"event", ids.Event}, {"request", ids.Request}, {"instance", ids.Instance}, {"zone", ids.Zone}, {"change", ids.Change}} {
		if p[1] != "" {
			parts = append(parts, p[0]+" "+p[1])
		}
	}
	if ids.Group != 0 {
		parts = append(parts, fmt.Sprint("group ", ids.Group))
	}
	if parts == nil {
		return "Timeline"
	}
	return "Timeline of " + strings.Join(parts, ", ")
}

func writePage(path string, p dragonflytimelinepage.Page) (err error) {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	return p.Write(f)
}
