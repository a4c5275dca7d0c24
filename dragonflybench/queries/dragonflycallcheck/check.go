// Package dragonflycallcheck compares what callers were told of their calls with
// what the services have run.
package dragonflycallcheck

import (
	"fmt"

	"dragonflyrelay.example/dragonflybench/values/dragonflycalloutcome"
)

// Violations returns one line for each call that ran more than once, that was
// answered but never ran, that ran although it was refused as not run, or whose
// answer was for another call. Runs counts runs by the SHA-256 of the body.
func Violations(outcomes []dragonflycalloutcome.Outcome, runs map[string]int) []string {
	var out []string
	for _, o := range outcomes {
		n := runs[o.Body]
		breach := ""
		switch {
		case n > 1:
			breach = "ran more than once"
		case o.Kind == dragonflycalloutcome.Answered && n == 0:
			breach = "was answered but never ran"
		case o.Kind == dragonflycalloutcome.NotRun && n > 0:
			breach = "ran although it was refused as not run"
		case o.Kind == dragonflycalloutcome.Answered && o.Echoed != "" && o.Echoed != o.Body:
			breach = "got the answer of another call"
		}
		if breach != "" {
			out = append(out, fmt.Sprintf("call %.16s %s (%d runs, %d tries, keyed %t, caller was told %s)",
				o.Body, breach, n, o.Tries, o.Keyed, o.Kind.Name()))
		}
	}
	return out
}
