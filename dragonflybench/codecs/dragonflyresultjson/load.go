// Package dragonflyresultjson encodes the results of measurements as JSON.
package dragonflyresultjson

import (
	"encoding/json"

	"dragonflyrelay.example/dragonflybench/values/dragonflyloadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyoverheadresult"
	"dragonflyrelay.example/dragonflybench/values/dragonflyquantiles"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// wireQuantiles is the JSON form of quantiles, with times in milliseconds.
type wireQuantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

type wireClass struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Met      int     `json:"met"`
	Share    float64 `json:"share-per-mille"`
	Target   int     `json:"target-per-mille"`
}

type wireLoad struct {
	Base               string         `json:"base"`
	Seed               uint64         `json:"seed"`
	Rate               float64        `json:"rate"`
	ElapsedS           float64        `json:"elapsed-s"`
	Requests           int            `json:"requests"`
	Tokens             int            `json:"tokens"`
	Outcomes           map[string]int `json:"outcomes"`
	FirstToken         wireQuantiles  `json:"first-token"`
	FirstTokenFromSend wireQuantiles  `json:"first-token-from-send"`
	Gap                wireQuantiles  `json:"gap"`
	Lateness           wireQuantiles  `json:"late"`
	LateRequests       int            `json:"late-over-10-ms"`
	Classes            []wireClass    `json:"classes"`
	Workspaces         map[string]int `json:"workspaces"`
	Examples           []string       `json:"examples,omitempty"`
}

// MarshalLoad returns the JSON form of r, indented.
func MarshalLoad(r dragonflyloadresult.Result) ([]byte, error) {
	return json.MarshalIndent(loadToWire(r), "", "  ")
}

func loadToWire(r dragonflyloadresult.Result) wireLoad {
	w := wireLoad{
		Base: r.Base, Seed: r.Seed, Rate: r.Rate, ElapsedS: r.Elapsed.Seconds(), Requests: r.Requests, Tokens: r.Tokens,
		Outcomes: r.Outcomes, LateRequests: r.LateRequests, Workspaces: r.Workspaces, Examples: r.Examples,
		FirstToken:         quantiles(r.FirstToken),
		FirstTokenFromSend: quantiles(r.FirstTokenFromSend),
		Gap:                quantiles(r.Gap),
		Lateness:           quantiles(r.Lateness),
	}
	for _, c := range r.Classes {
		share := 0.0
		if c.Requests > 0 {
			share = 1000 * float64(c.Met) / float64(c.Requests)
		}
		w.Classes = append(w.Classes, wireClass{c.Name, c.Requests, c.Met, share, c.Answered})
	}
	return w
}

func quantiles(q dragonflyquantiles.Quantiles) wireQuantiles {
	return wireQuantiles{q.Count, milliseconds(q.P50), milliseconds(q.P95), milliseconds(q.P99), milliseconds(q.Max)}
}

func milliseconds(d dragonflyduration.Duration) float64 {
	return float64(d) / float64(dragonflyduration.Millisecond)
}

type wireComparison struct {
	Name       string  `json:"name"`
	Direct     float64 `json:"direct-ms"`
	Through    float64 `json:"through-ms"`
	Difference float64 `json:"difference-ms"`
	Target     float64 `json:"target-ms"`
	Met        bool    `json:"met"`
}

// MarshalOverhead returns the JSON form of r, indented.
func MarshalOverhead(r dragonflyoverheadresult.Result) ([]byte, error) {
	w := struct {
		Met         bool             `json:"met"`
		Comparisons []wireComparison `json:"comparisons"`
		Direct      wireLoad         `json:"direct"`
		Through     wireLoad         `json:"through"`
	}{Met: r.Met(), Direct: loadToWire(r.Direct), Through: loadToWire(r.Through)}
	for _, c := range r.Comparisons() {
		w.Comparisons = append(w.Comparisons, wireComparison{
			c.Name, milliseconds(c.Direct), milliseconds(c.Through), milliseconds(c.Through - c.Direct), milliseconds(c.Target), c.Met(),
		})
	}
	return json.MarshalIndent(w, "", "  ")
}
