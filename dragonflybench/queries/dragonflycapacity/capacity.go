// Package dragonflycapacity extrapolates measured resource usage to the target size.
package dragonflycapacity

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/dragonflybench/queries/dragonflyslopes"
	"dragonflyrelay.example/dragonflybench/values/dragonflyslope"
	"github.com/pkg/errors"
)

// The target size and the resource budget, from section 1.6 of the design page.
const (
	targetAgents  = 3600
	targetEntries = 380
	groupSize     = 8
	// The budget of each node for the work of the control system, and the number of
	// instances reserved for control.
	budgetCores          = 0.01
	budgetMemoryBytes    = 32_000_000
	budgetBytesPerSecond = 3_000
	budgetInstances      = 14
)

// Names of the parts of a measurement. The number of agents grows in one run without
// and in one with requests, both with a fixed number of entries that watch; the
// number of entries grows in another run, with a fixed number of agents. Entries
// receive the load of every group, so their traffic is taken from the run with
// requests. The memory of a single agent and of a single entry is measured in a
// process of its own, without a share of the memory of other servers. The parts of
// bytes are relays that count the traffic of one kind of call.
const (
	PartAgents      = "agents"
	PartLoaded      = "agents-loaded"
	PartEntries     = "entries"
	PartSingleAgent = "lone-agent"
	PartSingleEntry = "lone-entry"
	PartReports     = "report-bytes"    // from agents to control
	PartWatches     = "watch-bytes"     // from entries to control
	PartHeartbeats  = "heartbeat-bytes" // between the agents of a group
)

// Controls lists the names of the control instances, which are parts in separate
// processes.
var Controls = []string{"control-0", "control-1", "control-2"}

// usage is the resource usage of one role at the target size.
type usage struct {
	role              string
	cores             float64
	memoryBytes       float64
	bytesPerSecond    float64 // sent and received
	requestsPerSecond float64 // sent and received
	residual          float64 // largest residual, relative to the mean of the points
	budgeted          bool
}

// extrapolation looks up slopes. Its err is the error for the first slope that was
// missing, and its residual the largest relative residual since withResidual.
type extrapolation struct {
	slopes   []dragonflyslope.Slope
	err      error
	residual float64
}

func (x *extrapolation) slope(driver, part, metric string) dragonflyslope.Slope {
	for _, s := range x.slopes {
		if s.Driver == driver && s.Part == part && s.Metric == metric {
			x.recordResidual(s)
			return s
		}
	}
	if x.err == nil {
		x.err = errors.Errorf("no slope of %s of %s against the number of %s", metric, part, driver)
	}
	return dragonflyslope.Slope{}
}

// recordResidual updates the largest relative residual of the slopes in use.
func (x *extrapolation) recordResidual(s dragonflyslope.Slope) {
	mean := 0.0
	for _, v := range s.Values {
		mean += v / float64(len(s.Values))
	}
	if mean > 0 {
		x.residual = max(x.residual, s.Residual/mean)
	}
}

// bothDirections returns the sum of the bytes in the two directions of a relay.
func (x *extrapolation) bothDirections(driver, part string) (perServer, base float64) {
	in := x.slope(driver, part, dragonflyslopes.MetricBytesIn)
	out := x.slope(driver, part, dragonflyslopes.MetricBytesOut)
	return in.PerServer + out.PerServer, in.Base + out.Base
}

// atTarget returns a usage that grows with both agents and entries. It is the sum
// of the line of the run with a growing number of agents and of the increase for
// each entry in the run with a growing number of entries.
func (x *extrapolation) atTarget(part, metric string) float64 {
	s := x.slope(PartAgents, part, metric)
	e := x.slope(PartEntries, part, metric)
	return s.At(targetAgents) + e.PerServer*targetEntries
}

// callRate returns the rate of a call at the target size. A process has a counter for a
// call only after the first one, so a call without a slope was never made; the other
// slopes of the process show that it was measured.
func (x *extrapolation) callRate(part, call string) float64 {
	total := 0.0
	for _, s := range x.slopes {
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

func (x *extrapolation) withResidual(u usage) usage {
	u.residual, x.residual = x.residual, 0
	return u
}

// usages returns the usage of every role. fixedEntries is the number of entries in
// the run with a growing number of agents.
func (x *extrapolation) usages(fixedEntries float64) []usage {
	reports, _ := x.bothDirections(PartAgents, PartReports)
	heartbeats, _ := x.bothDirections(PartAgents, PartHeartbeats)
	agent := usage{
		role:        "agent, member",
		cores:       x.slope(PartAgents, PartAgents, dragonflyslopes.MetricCPU).PerServer,
		memoryBytes: x.slope(PartSingleAgent, PartSingleAgent, dragonflyslopes.MetricResident).At(1),
		// The heartbeat bytes are a mean over groupSize agents, but only groupSize-1
		// of them exchange heartbeats with the head.
		bytesPerSecond: reports + heartbeats*groupSize/(groupSize-1), budgeted: true,
		requestsPerSecond: 1 + heartbeatsPerSecond,
	}
	member := x.withResidual(agent)
	head := member
	// All heartbeats of a group pass through its head.
	head.role, head.bytesPerSecond, head.requestsPerSecond = "agent, head", reports+heartbeats*groupSize, 1+heartbeatsPerSecond*(groupSize-1)

	watches, _ := x.bothDirections(PartEntries, PartWatches)
	watchGrowth, _ := x.bothDirections(PartLoaded, PartWatches)
	cpuGrowth := x.slope(PartAgents, PartEntries, dragonflyslopes.MetricCPU)
	memoryGrowth := x.slope(PartAgents, PartEntries, dragonflyslopes.MetricResident)
	// A slope below 0 is noise around a constant value and must not reduce the
	// usage.
	entry := x.withResidual(usage{
		role:           "entry",
		cores:          x.slope(PartEntries, PartEntries, dragonflyslopes.MetricCPU).PerServer + max(cpuGrowth.PerServer, 0)/fixedEntries*targetAgents,
		memoryBytes:    x.slope(PartSingleEntry, PartSingleEntry, dragonflyslopes.MetricResident).At(1) + max(memoryGrowth.PerServer, 0)/fixedEntries*targetAgents,
		bytesPerSecond: watches + max(watchGrowth, 0)/fixedEntries*targetAgents, requestsPerSecond: 1, budgeted: true,
	})
	out := []usage{member, head, entry}
	for _, part := range Controls {
		out = append(out, x.withResidual(usage{
			role:              part,
			cores:             x.atTarget(part, dragonflyslopes.MetricCPU),
			memoryBytes:       x.atTarget(part, dragonflyslopes.MetricResident),
			requestsPerSecond: x.callRate(part, "/dragonfly.control/Report") + x.callRate(part, "/dragonfly.control/Watch"),
		}))
	}
	return out
}

// heartbeatsPerSecond is the rate between the head of a group and one member: one
// heartbeat every 400 ms.
const heartbeatsPerSecond = 2.5

// Table returns the usages at the target size as a table in Markdown.
// fixedEntries is the number of entries in the run with a growing number of
// agents. If a slope is missing, the error names it.
func Table(slopes []dragonflyslope.Slope, fixedEntries int) (text string, err error) {
	if fixedEntries < 1 {
		return "", errors.New("the run with a growing number of agents needs at least one entry")
	}
	x := &extrapolation{slopes: slopes}
	usages := x.usages(float64(fixedEntries))
	if x.err != nil {
		return "", x.err
	}
	var t strings.Builder
	t.WriteString("| Role | CPU, % of a core | Memory, MB | Control traffic, KB/s | Requests/s | Largest residual, % | Within the budget of a node |\n|---|---|---|---|---|---|---|\n")
	for _, u := range usages {
		fmt.Fprintf(&t, "| %s | %.2f | %.1f | %s | %.1f | %.1f | %s |\n",
			u.role, 100*u.cores, u.memoryBytes/1e6, traffic(u), u.requestsPerSecond, 100*u.residual, u.verdict())
	}
	return t.String(), nil
}

func traffic(u usage) string {
	if !u.budgeted {
		return "not measured"
	}
	return fmt.Sprintf("%.2f", u.bytesPerSecond/1e3)
}

// verdict returns "yes" or the names of the resources whose usage exceeds the budget
// of a node. For a role without such a budget, which runs on instances of its own,
// it returns the maximum number of these.
func (u usage) verdict() string {
	if !u.budgeted {
		return fmt.Sprintf("instance set aside, at most %d", budgetInstances)
	}
	var over []string
	if u.cores > budgetCores {
		over = append(over, "CPU")
	}
	if u.memoryBytes > budgetMemoryBytes {
		over = append(over, "memory")
	}
	if u.bytesPerSecond > budgetBytesPerSecond {
		over = append(over, "traffic")
	}
	if len(over) == 0 {
		return "yes"
	}
	return "no: " + strings.Join(over, ", ")
}
