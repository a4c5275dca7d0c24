// Package dragonflyslopes computes from samples how the resource usage of each part
// grows with the number of servers.
package dragonflyslopes

import (
	"sort"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyfit"
	"dragonflyrelay.example/dragonflybench/values/dragonflysample"
	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// SettleTime is the time after a change of size that is excluded, because servers
// start, groups form and leases are granted in it.
const SettleTime = 8 * dragonflyduration.Second

// Names of metrics. The rate of a call, in calls per second, has the name of the
// call.
const (
	MetricCPU         = "cpu-cores"
	MetricResident    = "resident-bytes"
	MetricHeap        = "heap-bytes"
	MetricBytesIn     = "bytes-in-per-second"
	MetricBytesOut    = "bytes-out-per-second"
	MetricGoroutines  = "goroutines"
	MetricConnections = "connections-per-second"
)

// window is a period in which the number of servers did not change.
type window struct {
	size     int
	from, to int64 // wall-clock time in ns since 1970
}

// Fit returns one line for each part and metric, fitted to one point for each period
// of equal size of the driver. A period without servers or with fewer than two
// samples of a part gives no point.
func Fit(driver []dragonflysample.Sample, parts ...[]dragonflysample.Sample) []dragonflyslope.Slope {
	var out []dragonflyslope.Slope
	ws := windows(driver)
	for _, samples := range parts {
		if len(samples) == 0 {
			continue
		}
		sizes, values := map[string][]float64{}, map[string][]float64{}
		for _, w := range ws {
			for metric, v := range rates(samples, w) {
				sizes[metric] = append(sizes[metric], float64(w.size))
				values[metric] = append(values[metric], v)
			}
		}
		for metric := range sizes {
			f := dragonflyfit.Line(sizes[metric], values[metric])
			out = append(out, dragonflyslope.Slope{
				Driver: driver[0].Part, Part: samples[0].Part, Metric: metric,
				PerServer: f.Slope(), Base: f.Intercept(), Residual: f.Residual(),
				Sizes: sizes[metric], Values: values[metric],
			})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Part+" "+out[i].Metric < out[j].Part+" "+out[j].Metric
	})
	return out
}

// windows returns the periods of equal size, each without its first SettleTime.
func windows(driver []dragonflysample.Sample) []window {
	var out []window
	for i, s := range driver {
		if i == 0 || s.Size != driver[i-1].Size {
			out = append(out, window{size: s.Size, from: s.At + int64(SettleTime)})
		}
		out[len(out)-1].to = s.At
	}
	return out
}

// rates returns the mean of each metric of one part within w, or nil if w gives no
// point.
func rates(samples []dragonflysample.Sample, w window) map[string]float64 {
	var in []dragonflysample.Sample
	for _, s := range samples {
		if s.At >= w.from && s.At <= w.to {
			in = append(in, s)
		}
	}
	if w.size == 0 || len(in) < 2 {
		return nil
	}
	first, last := in[0], in[len(in)-1]
	seconds := float64(last.At-first.At) / float64(dragonflyduration.Second)
	rate := func(from, to int64) float64 { return float64(to-from) / seconds }
	m := map[string]float64{
		MetricCPU:         rate(first.CPU, last.CPU) / float64(dragonflyduration.Second),
		MetricBytesIn:     rate(first.BytesIn, last.BytesIn),
		MetricBytesOut:    rate(first.BytesOut, last.BytesOut),
		MetricConnections: rate(first.Connections, last.Connections),
	}
	for _, s := range in {
		m[MetricResident] += float64(s.Resident) / float64(len(in))
		m[MetricHeap] += float64(s.Heap) / float64(len(in))
		m[MetricGoroutines] += float64(s.Goroutines) / float64(len(in))
	}
	for call, n := range last.Calls {
		m[call] = rate(first.Calls[call], n)
	}
	return m
}
