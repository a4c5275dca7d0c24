// Package dragonflytally aggregates the outcomes of a load.
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

// Range of the histograms in ns, from 1 µs to 10 minutes, and their precision in
// decimal digits.
const (
	minRecorded       = int64(dragonflyduration.Microsecond)
	maxRecorded       = int64(10 * dragonflyduration.Minute)
	significantDigits = 3
)

// lateThreshold is the lateness of the generator above which its own delay is
// significant compared with a gap target of 25 ms.
const lateThreshold = 10 * dragonflyduration.Millisecond

// maxExamples is the number of details that are kept of each kind of outcome other
// than Completed.
const maxExamples = 3

// Tally is the aggregate of the outcomes of a load. It is owned by one goroutine
// and, unlike other values of the system, is updated in place, because its
// histograms are mutable.
type Tally struct {
	cfg                                  dragonflyloadsettings.Settings
	requests, tokens, lateRequests       int
	outcomes, workspaces                 map[string]int
	requestsByClass, metByClass          map[string]int
	firstToken, firstTokenFromSend, gaps *hdrhistogram.Histogram
	lateness                             *hdrhistogram.Histogram
	details                              []string
}

// New returns an empty tally for the load of cfg.
func New(cfg dragonflyloadsettings.Settings) *Tally {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(minRecorded, maxRecorded, significantDigits) }
	return &Tally{
		cfg: cfg.WithDefaults(), outcomes: map[string]int{}, workspaces: map[string]int{},
		requestsByClass: map[string]int{}, metByClass: map[string]int{},
		firstToken: histogram(), firstTokenFromSend: histogram(), gaps: histogram(), lateness: histogram(),
	}
}

// Add adds one outcome.
func (t *Tally) Add(o dragonflyoutcome.Outcome) {
	t.requests++
	t.tokens += o.Tokens
	t.outcomes[o.Kind.Name()]++
	t.workspaces[o.Request.Workspace]++
	t.requestsByClass[o.Request.Class]++
	if o.MeetsTarget() {
		t.metByClass[o.Request.Class]++
	}
	record(t.lateness, o.Lateness)
	if o.Lateness > lateThreshold {
		t.lateRequests++
	}
	if o.FirstToken > 0 {
		record(t.firstToken, o.FirstTokenSinceArrival())
		record(t.firstTokenFromSend, o.FirstToken)
	}
	for _, g := range o.Gaps {
		record(t.gaps, g)
	}
	if o.Kind != dragonflyoutcome.Completed && t.outcomes[o.Kind.Name()] <= maxExamples {
		t.details = append(t.details, fmt.Sprintf("%s %s: %s", o.Request.ID, o.Kind.Name(), o.Detail))
	}
}

// record adds d to h. A negative value counts as 0, a value above the range as its
// upper end.
func record(h *hdrhistogram.Histogram, d dragonflyduration.Duration) {
	_ = h.RecordValue(min(max(int64(d), 0), maxRecorded))
}

// Result returns the result of the outcomes that were added, for a load that took
// the time elapsed.
func (t *Tally) Result(elapsed dragonflyduration.Duration) dragonflyloadresult.Result {
	r := dragonflyloadresult.Result{
		Base: t.cfg.Base, Seed: t.cfg.Seed, Rate: t.cfg.Rate, Requests: t.requests, Tokens: t.tokens,
		Outcomes: map[string]int{}, Elapsed: elapsed, LateRequests: t.lateRequests,
		Workspaces: t.workspaces, Examples: t.details,
		FirstToken: quantiles(t.firstToken), FirstTokenFromSend: quantiles(t.firstTokenFromSend),
		Gap: quantiles(t.gaps), Lateness: quantiles(t.lateness),
	}
	for _, k := range dragonflyoutcome.Kinds {
		r.Outcomes[k.Name()] = t.outcomes[k.Name()]
	}
	for _, c := range t.cfg.Classes {
		r = r.WithClass(c.Name, t.requestsByClass[c.Name], t.metByClass[c.Name], c.Answered)
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
