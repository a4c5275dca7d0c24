// Package dragonflyoutput writes the output of a command as text or as JSON.
package dragonflyoutput

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Output writes to W as aligned text, or as JSON if JSON is set.
type Output struct {
	// W receives the output.
	W io.Writer
	// JSON selects JSON with names in kebab case, one JSON value for each method
	// call.
	JSON bool
}

// Rows writes a table. As JSON it is an array of objects with the columns as
// names.
func (o Output) Rows(columns []string, rows [][]any) (err error) {
	defer func() { err = errors.WithMessage(err, "write output") }()
	if o.JSON {
		objects := make([]json.RawMessage, len(rows))
		for i, r := range rows {
			if objects[i], err = marshalObject(columns, r); err != nil {
				return err
			}
		}
		return json.NewEncoder(o.W).Encode(objects)
	}
	tw := tabwriter.NewWriter(o.W, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, strings.ToUpper(strings.Join(columns, "\t")))
	for _, r := range rows {
		_, _ = fmt.Fprintln(tw, strings.Join(formatCells(r), "\t"))
	}
	return tw.Flush()
}

// Fields writes named values, one per line. As JSON they are one object.
func (o Output) Fields(names []string, values []any) (err error) {
	defer func() { err = errors.WithMessage(err, "write output") }()
	if o.JSON {
		raw, err := marshalObject(names, values)
		if err != nil {
			return err
		}
		_, err = o.W.Write(append(raw, '\n'))
		return err
	}
	tw := tabwriter.NewWriter(o.W, 0, 0, 2, ' ', 0)
	for i, t := range formatCells(values) {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", names[i], t)
	}
	return tw.Flush()
}

// Lines writes lines. As JSON they are an array of strings.
func (o Output) Lines(lines []string) (err error) {
	defer func() { err = errors.WithMessage(err, "write output") }()
	if o.JSON {
		if lines == nil {
			lines = []string{}
		}
		return json.NewEncoder(o.W).Encode(lines)
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(o.W, l); err != nil {
			return err
		}
	}
	return nil
}

// marshalObject returns a JSON object with the names in the given order.
func marshalObject(names []string, values []any) ([]byte, error) {
	var buf bytes.Buffer
	for i, n := range names {
		buf.WriteByte("{,"[min(i, 1)])
		name, err := json.Marshal(n)
		if err != nil {
			return nil, err
		}
		value, err := json.Marshal(values[i])
		if err != nil {
			return nil, err
		}
		buf.Write(name)
		buf.WriteByte(':')
		buf.Write(value)
	}
	buf.WriteByte('}')
	return buf.Bytes(), nil
}

func formatCells(values []any) []string {
	out := make([]string, len(values))
	for i, v := range values {
		switch v := v.(type) {
		case []string:
			out[i] = strings.Join(v, ",")
		case bool:
			out[i] = map[bool]string{true: "yes", false: "no"}[v]
		default:
			out[i] = fmt.Sprint(v)
		}
		if out[i] == "" {
			out[i] = "-"
		}
	}
	return out
}
