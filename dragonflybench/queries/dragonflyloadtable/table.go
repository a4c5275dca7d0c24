// Package dragonflyloadtable formats the results of measurements as text tables.
package dragonflyloadtable

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"dragonflyrelay.example/dragonflybench/values/dragonflyloadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoutcome"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoverheadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Load returns the table of results of a load.
func Load(r dragonflyloadresult.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d: %d requests in %.1f s, %.1f/s, %d correct tokens\n",
		r.Base, r.Seed, r.Requests, r.Elapsed.Seconds(), float64(r.Requests)/r.Elapsed.Seconds(), r.Tokens)
	for _, k := range dragonflyoutcome.Kinds {
		fmt.Fprintf(&b, "  %s %d", k.Name(), r.Outcomes[k.Name()])
	}
	fmt.Fprintf(&b, "  sent over 10 ms late %d\n", r.LateRequests)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "ms\tp50\tp95\tp99\tmax\tcount\t")
	row(w, "first token", r.FirstToken)
	row(w, "first token from sending", r.FirstTokenFromSend)
	row(w, "gap", r.Gap)
	row(w, "generator lateness", r.Lateness)
	_ = w.Flush()
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "class %q: %d of %d met the target (%.1f per mille, target %d)\n",
			c.Name, c.Met, c.Requests, 1000*float64(c.Met)/float64(max(c.Requests, 1)), c.Answered)
	}
	for _, e := range r.Examples {
		fmt.Fprintln(&b, "  "+e)
	}
	return b.String()
}

func row(w *tabwriter.Writer, name string, q dragonflyquantiles.Quantiles) {
	_, _ = fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t\n", name, ms(q.P50), ms(q.P95), ms(q.P99), ms(q.Max), q.Count)
}

func ms(d dragonflyduration.Duration) float64 {
	return float64(d) / float64(dragonflyduration.Millisecond)
}

// Overhead returns the table that compares direct calls with calls through the system.
func Overhead(r dragonflyoverheadresult.Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "direct %s, %d requests; through %s, %d requests; %.0f a second\n",
		r.Direct.Base, r.Direct.Requests, r.Through.Base, r.Through.Requests, r.Direct.Rate)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "ms\tdirect\tthrough\tdifference\ttarget\t\t")
	for _, c := range r.Comparisons() {
		verdict := "met"
		if !c.Met() {
			verdict = "missed"
		}
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.0f\t%s\t\n", c.Name, ms(c.Direct), ms(c.Through), ms(c.Through-c.Direct), ms(c.Target), verdict)
	}
	_ = w.Flush()
	for _, part := range []dragonflyloadresult.Result{r.Direct, r.Through} {
		fmt.Fprintf(&b, "%s:", part.Base)
		for _, k := range dragonflyoutcome.Kinds {
			fmt.Fprintf(&b, " %s %d", k.Name(), part.Outcomes[k.Name()])
		}
		fmt.Fprintf(&b, ", sent over 10 ms late %d\n", part.LateRequests)
		for _, e := range part.Examples {
			fmt.Fprintln(&b, "  "+e)
		}
	}
	return b.String()
}
