package dragonflyloadtable

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"dragonflyrelay.example/dragonflybench/values/dragonflygrouptrial"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Groups returns the table of results of the groups experiment. The target bounds the
// sum of detection and decision.
func Groups(trials []dragonflygrouptrial.Trial, target dragonflyduration.Duration) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "fault\tgroups\tdetection, ms\tdecision, ms\twithin %.0f ms\tdowntime without load, ms\tstranded, accelerator-s\tobserved, s\t\n", ms(target))
	for _, t := range trials {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%.2f\t%.1f\t\n", t.Scenario, t.Groups,
			msOrNone(t.Detected, t.Detection), msOrNone(t.Decided, t.Decision), verdict(t.Met(target)),
			msOrNone(t.Repaired, t.Downtime), t.Stranded, t.Observed.Seconds())
	}
	_ = w.Flush()
	return b.String()
}

// msOrNone returns d in ms, or "none" if its event did not occur.
func msOrNone(occurred bool, d dragonflyduration.Duration) string {
	if !occurred {
		return "none"
	}
	return fmt.Sprintf("%.0f", ms(d))
}
