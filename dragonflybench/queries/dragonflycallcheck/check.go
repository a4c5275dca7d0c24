// Package dragonflycallcheck compares the responses that callers received with the
// runs that the services recorded.
package dragonflycallcheck

import (
	"fmt"

	"dragonflyrelay.example/dragonflybench/values/dragonflycalloutcome"
)

// Violations returns one line for each call that ran more than once, that was
// answered but never ran, that ran although it was refused as not run, or whose
// answer was for another call or no whole one. The map runs holds the number of runs by the
// SHA-256 of the body.
func Violations(outcomes []dragonflycalloutcome.Outcome, runs map[string]int) []string {
	var out []string
	for _, o := range outcomes {
		n := runs[o.Body]
		violation := ""
		switch {
		case n > 1:
			violation = "ran more than once"
		case o.Kind == dragonflycalloutcome.Answered && n == 0:
			violation = "was answered but never ran"
		case o.Kind == dragonflycalloutcome.NotRun && n > 0:
			violation = "ran although it was refused as not run"
		case o.Kind == dragonflycalloutcome.Answered && o.EchoedBody != "" && o.EchoedBody != o.Body:
			violation = "got the answer of another call"
		case o.Kind == dragonflycalloutcome.Broken:
			violation = "got a part of an answer"
		}
		if violation != "" {
			out = append(out, fmt.Sprintf("call %.16s %s (%d runs, %d tries, keyed %t, caller received %s)",
				o.Body, violation, n, o.Tries, o.Keyed, o.Kind.Name()))
		}
	}
	return out
}
