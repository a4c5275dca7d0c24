package dragonflyloadtable

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/dragonflybench/values/dragonflyphase"
)

// Phases returns the table of the outcomes of each class in each phase.
func Phases(phases []dragonflyphase.Phase) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-8s %-8s %9s %7s %7s %9s %9s %8s\n", "phase", "class", "requests", "whole", "met", "met, %", "refused", "broken")
	for _, p := range phases {
		fmt.Fprintf(&b, "%-8s %-8s %9d %7d %7d %9.2f %9d %8d\n", p.Name, p.Class, p.Requests, p.Completed, p.Met, 100*p.MetShare(), p.Refused, p.Broken)
	}
	return b.String()
}
