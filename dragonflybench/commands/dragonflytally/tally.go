// Package dragonflytally sums up the outcomes of a load.
package dragonflytally

import (
	"fmt"

	"dragonflyrelay.example/dragonflybench/values/dragonflyloadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoutcome"
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms: 1 µs to 10 minutes, three digits.
const (
	lowest  = int64(dragonflyduration.Microsecond)
	highest = int64(10 * dragonflyduration.Minute)
	digits  = 3
)

// lateBound is the lateness of the generator above which its own delay would
// matter beside a gap target of 25 ms.
const lateBound = 10 * dragonflyduration.Millisecond

// examples is the number of details kept of each kind of requests that were not whole.
const examples = 3

// Tally is owned by one duty; unlike the values of the system it changes in
// place, because its histograms do.
type Tally struct {
	cfg                        dragonflyloadsettings.Settings
	requests, tokens, lateOver int
	outcomes, workspaces       map[string]int
	asked, met                 map[string]int
	firstToken, fromSend, gaps *hdrhistogram.Histogram
	late                       *hdrhistogram.Histogram
	details                    []string
}

// New returns an empty tally for the load of cfg.
func New(cfg dragonflyloadsettings.Settings) *Tally {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }
	return &Tally{
		cfg: cfg.WithDefaults(), outcomes: map[string]int{}, workspaces: map[string]int{},
		asked: map[string]int{}, met: map[string]int{},
		firstToken: histogram(), fromSend: histogram(), gaps: histogram(), late: histogram(),
	}
}

// Add counts one outcome.
func (t *Tally) Add(o dragonflyoutcome.Outcome) {
	t.requests++
	t.tokens += o.Tokens
	t.outcomes[o.Kind.Name()]++
	t.workspaces[o.Request.Workspace]++
	t.asked[o.Request.Class]++
	if o.Meets() {
		t.met[o.Request.Class]++
	}
	record(t.late, o.Late)
	if o.Late > lateBound {
		t.lateOver++
	}
	if o.FirstToken > 0 {
		record(t.firstToken, o.SinceArrival())
		record(t.fromSend, o.FirstToken)
	}
	for _, g := range o.Gaps {
		record(t.gaps, g)
	}
	if o.Kind != dragonflyoutcome.Whole && t.outcomes[o.Kind.Name()] <= examples {
		t.details = append(t.details, fmt.Sprintf("%s %s: %s", o.Request.ID, o.Kind.Name(), o.Detail))
	}
}

// record counts d; a value beyond the range counts as the end of the range.
func record(h *hdrhistogram.Histogram, d dragonflyduration.Duration) {
	_ = h.RecordValue(min(max(int64(d), 0), highest))
}

// Result sums up what was added within elapsed.
func (t *Tally) Result(elapsed dragonflyduration.Duration) dragonflyloadresult.Result {
	r := dragonflyloadresult.Result{
		Base: t.cfg.Base, Seed: t.cfg.Seed, Rate: t.cfg.Rate, Requests: t.requests, Tokens: t.tokens,
		Outcomes: map[string]int{}, Elapsed: elapsed, LateOver: t.lateOver,
		Workspaces: t.workspaces, Examples: t.details,
		FirstToken: quantiles(t.firstToken), FirstTokenFromSend: quantiles(t.fromSend),
		Gap: quantiles(t.gaps), Late: quantiles(t.late),
	}
	for _, k := range dragonflyoutcome.Kinds {
		r.Outcomes[k.Name()] = t.outcomes[k.Name()]
	}
	for _, c := range t.cfg.Classes {
		r = r.WithClass(c.Name, t.asked[c.Name], t.met[c.Name], c.Answered)
	}
	return r
}

func quantiles(h *hdrhistogram.Histogram) dragonflyquantiles.Quantiles {
	return dragonflyquantiles.Quantiles{
		Count: h.TotalCount(),
		P50:   dragonflyduration.Duration(h.ValueAtPercentile(50)),
		P95:   dragonflyduration.Duration(h.ValueAtPercentile(95)),
		P99:   dragonflyduration.Duration(h.ValueAtPercentile(99)),
		Max:   dragonflyduration.Duration(h.Max()),
	}
}
