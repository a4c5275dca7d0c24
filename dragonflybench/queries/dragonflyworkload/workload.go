// Package dragonflyworkload plans a load: which request arrives when. Equal
// settings give equal plans.
package dragonflyworkload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyexpectation"
	"dragonflyrelay.example/dragonflybench/values/dragonflyloadsettings"
	"dragonflyrelay.example/dragonflybench/values/dragonflyrequest"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Workload is the rest of a plan. Use New.
type Workload struct {
	cfg   dragonflyloadsettings.Settings
	index uint64
	at    dragonflyduration.Duration
}

// New returns the plan of cfg.
func New(cfg dragonflyloadsettings.Settings) Workload {
	return Workload{cfg: cfg.WithDefaults()}
}

// Next returns the next request and the rest of the plan, or false after the
// end of the load. Arrivals are a Poisson process.
func (w Workload) Next() (rest Workload, r dragonflyrequest.Request, ok bool) {
	rnd := rand.New(rand.NewPCG(w.cfg.Seed, w.index))
	w.at += dragonflyduration.Duration(rnd.ExpFloat64() / w.cfg.Rate * float64(dragonflyduration.Second))
	if w.at >= w.cfg.Duration {
		return w, r, false
	}
	w.index++
	r = dragonflyrequest.Request{ID: fmt.Sprintf("%016x%016x", w.cfg.Seed, w.index), At: w.at}
	var weights []float64
	for _, s := range w.cfg.Workspaces {
		weights = append(weights, s.Weight)
	}
	workspace := w.cfg.Workspaces[pick(rnd, weights)]
	r.Workspace, r.Key = workspace.Name, workspace.Key
	weights = nil
	for _, s := range w.cfg.Classes {
		weights = append(weights, s.Weight)
	}
	class := w.cfg.Classes[pick(rnd, weights)]
	r.Class, r.FirstToken, r.Gap = class.Name, class.FirstToken, class.Gap
	r.MaxTokens = length(rnd, w.cfg.AnswerMedian, w.cfg.Sigma, 1, w.cfg.AnswerMax)
	r.Prompt = w.prompt(rnd, r)
	return w, r, true
}

// prompt returns one of the workspace's prefixes, the first ones being the most
// common, and a rest that no other request has.
func (w Workload) prompt(rnd *rand.Rand, r dragonflyrequest.Request) string {
	weights := make([]float64, w.cfg.Prefixes)
	for i := range weights {
		weights[i] = 1 / float64(i+1)
	}
	n := length(rnd, w.cfg.PromptMedian, w.cfg.Sigma, w.cfg.PrefixBytes, w.cfg.PromptMax)
	prefix := generateText(fmt.Sprint(r.Workspace, pick(rnd, weights)), w.cfg.PrefixBytes)
	return prefix + generateText(r.ID, max(n-len(prefix), 16))
}

// generateText returns n bytes of words that depend on seed only.
func generateText(seed string, n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(dragonflyexpectation.Token(seed, i))
	}
	return b.String()[:n]
}

// length draws a log-normal length, which has a heavy tail.
func length(rnd *rand.Rand, median int, sigma float64, least, most int) int {
	n := int(float64(median) * math.Exp(sigma*rnd.NormFloat64()))
	return min(max(n, least), most)
}

func pick(rnd *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rnd.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
