// Package dragonflycapacity extrapolates measured slopes to the target size.
package dragonflycapacity

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyslopes"
	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	"github.com/pkg/errors"
)

// The target size and the budget, from section 1.6 of the design page.
const (
	targetAgents  = 3600
	targetEntries = 380
	groupSize     = 8
	// Budget of control for each node, and the instances set aside for it.
	budgetCores          = 0.01       // cores
	budgetMemoryBytes    = 32_000_000 // bytes
	budgetBytesPerSecond = 3_000      // a second
	budgetInstances      = 14
)

// Names of the parts of a measurement. The agents drive one run without and one
// with requests, in which a fixed number of entries watch; the entries drive
// another one, with a fixed number of agents. Entries learn the load of every
// group, so their traffic is taken from the run with requests.
const (
	PartAgents     = "agents"
	PartLoaded     = "agents-loaded"
	PartEntries    = "entries"
	PartLoneAgent  = "lone-agent"
	PartLoneEntry  = "lone-entry"
	PartReports    = "report-bytes"
	PartWatches    = "watch-bytes"
	PartHeartbeats = "heartbeat-bytes"
)

// Controls names the parts of the control instances, each a process of its own.
var Controls = []string{"control-0", "control-1", "control-2"}

// usage is what one role uses at the target size.
type usage struct {
	role     string
	cpu      float64 // cores
	memory   float64 // bytes
	bytes    float64 // a second, sent and received
	messages float64 // a second, sent and received as requests
	residual float64 // the largest residual, relative to the mean of the points
	budgeted bool
}

// extrapolation looks up slopes and remembers the first one that is missing.
type extrapolation struct {
	slopes   []dragonflyslope.Slope
	err      error
	residual float64
}

func (b *extrapolation) slope(driver, part, metric string) dragonflyslope.Slope {
	for _, s := range b.slopes {
		if s.Driver == driver && s.Part == part && s.Metric == metric {
			b.recordResidual(s)
			return s
		}
	}
	if b.err == nil {
		b.err = errors.Errorf("no slope of %s of %s against the number of %s", metric, part, driver)
	}
	return dragonflyslope.Slope{}
}

// recordResidual keeps the largest relative residual of the slopes that were used.
func (b *extrapolation) recordResidual(s dragonflyslope.Slope) {
	mean := 0.0
	for _, v := range s.Values {
		mean += v / float64(len(s.Values))
	}
	if mean > 0 {
		b.residual = max(b.residual, s.Residual/mean)
	}
}

// bothDirections returns the sum of the two directions of a relay's bytes.
func (b *extrapolation) bothDirections(driver, part string) (perServer, base float64) {
	in := b.slope(driver, part, dragonflyslopes.MetricBytesIn)
	out := b.slope(driver, part, dragonflyslopes.MetricBytesOut)
	return in.PerServer + out.PerServer, in.Base + out.Base
}

// atTarget returns a use that grows with both agents and entries, measured in two
// runs: with n agents and no entries' growth, and the increase for each entry.
func (b *extrapolation) atTarget(part, metric string) float64 {
	s := b.slope(PartAgents, part, metric)
	e := b.slope(PartEntries, part, metric)
	return s.At(targetAgents) + e.PerServer*targetEntries
}

// calls returns the rate of a call at the target size. A process counts a call
// from the first one on, so a call without a slope was never made; that the
// process was measured at all shows in its other slopes.
func (b *extrapolation) calls(part, call string) float64 {
	total := 0.0
	for _, s := range b.slopes {
		switch {
		case s.Part != part || s.Metric != call:
		case s.Driver == PartAgents:
			total += s.At(targetAgents)
		case s.Driver == PartEntries:
			total += s.PerServer * targetEntries
		}
	}
	return total
}

func (b *extrapolation) withResidual(u usage) usage {
	u.residual, b.residual = b.residual, 0
	return u
}

// usages returns the use of every role. entriesBeside is the number of entries in
// the run that the agents drove.
func (b *extrapolation) usages(entriesBeside float64) []usage {
	reports, _ := b.bothDirections(PartAgents, PartReports)
	pairs, _ := b.bothDirections(PartAgents, PartHeartbeats)
	agent := usage{
		role:   "agent, member",
		cpu:    b.slope(PartAgents, PartAgents, dragonflyslopes.MetricCPU).PerServer,
		memory: b.slope(PartLoneAgent, PartLoneAgent, dragonflyslopes.MetricResident).At(1),
		bytes:  reports + pairs*groupSize/(groupSize-1), budgeted: true,
		messages: 1 + heartbeatsPerSecond,
	}
	member := b.withResidual(agent)
	head := member
	// All heartbeats of a group pass through its head.
	head.role, head.bytes, head.messages = "agent, head", reports+pairs*groupSize, 1+heartbeatsPerSecond*(groupSize-1)

	watches, _ := b.bothDirections(PartEntries, PartWatches)
	growth, _ := b.bothDirections(PartLoaded, PartWatches)
	grown := b.slope(PartAgents, PartEntries, dragonflyslopes.MetricCPU)
	resident := b.slope(PartAgents, PartEntries, dragonflyslopes.MetricResident)
	// A slope below 0 is noise around no growth, which must not hide a use.
	entry := b.withResidual(usage{
		role:   "entry",
		cpu:    b.slope(PartEntries, PartEntries, dragonflyslopes.MetricCPU).PerServer + max(grown.PerServer, 0)/entriesBeside*targetAgents,
		memory: b.slope(PartLoneEntry, PartLoneEntry, dragonflyslopes.MetricResident).At(1) + max(resident.PerServer, 0)/entriesBeside*targetAgents,
		bytes:  watches + max(growth, 0)/entriesBeside*targetAgents, messages: 1, budgeted: true,
	})
	out := []usage{member, head, entry}
	for _, part := range Controls {
		out = append(out, b.withResidual(usage{
			role:     part,
			cpu:      b.atTarget(part, dragonflyslopes.MetricCPU),
			memory:   b.atTarget(part, dragonflyslopes.MetricResident),
			messages: b.calls(part, "/dragonfly.control/Report") + b.calls(part, "/dragonfly.control/Watch"),
		}))
	}
	return out
}

// heartbeatsPerSecond is the rate between a head and one member: one each 400 ms.
const heartbeatsPerSecond = 2.5

// Table returns the uses at the target size as a table in Markdown.
// entriesBeside is the number of entries in the run that the agents drove. A
// slope that is missing is an error that names it.
func Table(slopes []dragonflyslope.Slope, entriesBeside int) (text string, err error) {
	if entriesBeside < 1 {
		return "", errors.New("the run that the agents drive needs at least one entry")
	}
	b := &extrapolation{slopes: slopes}
	usages := b.usages(float64(entriesBeside))
	if b.err != nil {
		return "", b.err
	}
	var t strings.Builder
	t.WriteString("| Role | CPU, % of a core | Memory, MB | Control traffic, KB/s | Requests/s | Largest residual, % | Within the budget of a node |\n|---|---|---|---|---|---|---|\n")
	for _, u := range usages {
		fmt.Fprintf(&t, "| %s | %.2f | %.1f | %s | %.1f | %.1f | %s |\n",
			u.role, 100*u.cpu, u.memory/1e6, traffic(u), u.messages, 100*u.residual, u.verdict())
	}
	return t.String(), nil
}

func traffic(u usage) string {
	if !u.budgeted {
		return "not measured"
	}
	return fmt.Sprintf("%.2f", u.bytes/1e3)
}

// verdict names what exceeds the budget.
func (u usage) verdict() string {
	if !u.budgeted {
		return fmt.Sprintf("instance set aside, at most %d", budgetInstances)
	}
	var over []string
	if u.cpu > budgetCores {
		over = append(over, "CPU")
	}
	if u.memory > budgetMemoryBytes {
		over = append(over, "memory")
	}
	if u.bytes > budgetBytesPerSecond {
		over = append(over, "traffic")
	}
	if len(over) == 0 {
		return "yes"
	}
	return "no: " + strings.Join(over, ", ")
}
