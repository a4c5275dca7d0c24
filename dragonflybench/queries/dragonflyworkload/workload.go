// Package dragonflyworkload generates the requests of a load and their times of
// arrival. Equal settings give equal requests.
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

// Workload is the sequence of requests that have not arrived yet. Use New.
type Workload struct {
	cfg   dragonflyloadsettings.Settings
	index uint64
	at    dragonflyduration.Duration
}

// New returns the workload with the settings cfg.
func New(cfg dragonflyloadsettings.Settings) Workload {
	return Workload{cfg: cfg.WithDefaults()}
}

// Next returns the next request and the workload after it, or false at the end of the
// load. Arrivals are a Poisson process.
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

// prompt returns one of the prefixes of the workspace, of which the first are the
// most common, followed by text that no other request has.
func (w Workload) prompt(rnd *rand.Rand, r dragonflyrequest.Request) string {
	weights := make([]float64, w.cfg.Prefixes)
	for i := range weights {
		weights[i] = 1 / float64(i+1)
	}
	n := length(rnd, w.cfg.PromptMedian, w.cfg.Sigma, w.cfg.PrefixBytes, w.cfg.PromptMax)
	prefix := generateText(fmt.Sprint(r.Workspace, pick(rnd, weights)), w.cfg.PrefixBytes)
	return prefix + generateText(r.ID, max(n-len(prefix), 16))
}

// generateText returns n bytes of words that depend only on seed.
func generateText(seed string, n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString(dragonflyexpectation.Token(seed, i))
	}
	return b.String()[:n]
}

// length draws a length from a log-normal distribution, which has a heavy tail.
func length(rnd *rand.Rand, median int, sigma float64, shortest, longest int) int {
	n := int(float64(median) * math.Exp(sigma*rnd.NormFloat64()))
	return min(max(n, shortest), longest)
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
