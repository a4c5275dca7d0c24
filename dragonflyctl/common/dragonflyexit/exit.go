// Package dragonflyexit defines the exit codes by which scripts recognize the
// outcome of a command.
package dragonflyexit

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	// Failed means that the command failed; a change has not been made.
	Failed = 1
	// Usage means that the command line or the settings are invalid.
	Usage = 2
	// Conflict means that the change is based on an outdated version.
	Conflict = 3
	// Unknown means that the change may or may not have been made; sending it
	// again with the same change id returns the outcome.
	Unknown = 4
)

// Error is an error with an exit code.
type Error struct {
	// Code is one of the exit codes above.
	Code int
	// Text describes the error to operators, in one or more lines.
	Text string
}

// Error returns e.Text.
func (e *Error) Error() string { return e.Text }

// Errorf returns an Error with the exit code and the formatted text.
func Errorf(code int, format string, args ...any) error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Report writes err to w and returns its exit code. An error that is not an Error
// comes from the parser of the command line and has the code Usage.
func Report(w io.Writer, err error) int {
	_, _ = fmt.Fprintln(w, err)
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Usage
}
