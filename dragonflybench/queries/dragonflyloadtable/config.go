package dragonflyloadtable

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"dragonflyrelay.example/dragonflybench/values/dragonflyconfigresult"
)

// Config returns the table of results of the configuration experiment.
func Config(r dragonflyconfigresult.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d control instances, %d agents, %d entries\n", r.Controls, r.Agents, r.Entries)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "ms\tp50\tp95\tp99\tmax\tcount\t")
	row(w, "proposal to acceptance", r.Accept)
	row(w, "acceptance to last process", r.Propagation)
	_ = w.Flush()
	fmt.Fprintf(&b, "in force everywhere within %.0f ms: %s, %d changes not in force\n", ms(r.PropagationTarget), verdict(r.PropagationMet()), r.Missing)
	for i, d := range r.Failovers {
		fmt.Fprintf(&b, "leader stop %d: next change accepted after %.0f ms\n", i+1, ms(d))
	}
	fmt.Fprintf(&b, "accepted within %.0f ms of a stop: %s\n", ms(r.FailoverTarget), verdict(r.FailoverMet()))
	return b.String()
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
