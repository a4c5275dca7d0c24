// Package dragonflyexit tells scripts what became of a command.
package dragonflyexit

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	// Failed tells that the command failed; a change has not been made.
	Failed = 1
	// Usage tells that the command line or the settings are wrong.
	Usage = 2
	// Conflict tells that the change rests on an old version.
	Conflict = 3
	// Unknown tells that the change may or may not have been made; sending it
	// again with the same change id tells which.
	Unknown = 4
)

// Error is a failure with its exit code.
type Error struct {
	// Code is one of the exit codes above.
	Code int
	// Text tells operators what happened, in one or more lines.
	Text string
}

// Error returns the text.
func (e *Error) Error() string { return e.Text }

// Errorf returns an Error.
func Errorf(code int, format string, args ...any) error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Report writes err to w and returns its exit code. Errors that are not an Error
// come from reading the command line.
func Report(w io.Writer, err error) int {
	_, _ = fmt.Fprintln(w, err)
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Usage
}
