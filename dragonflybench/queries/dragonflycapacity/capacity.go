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
	agents    = 3600
	entries   = 380
	groupSize = 8
	// Budget of control for each node, and the instances set aside for it.
	budgetCPU       = 0.01       // cores
	budgetMemory    = 32_000_000 // bytes
	budgetBytes     = 3_000      // a second
	budgetInstances = 14
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

// use is what one role uses at the target size.
type use struct {
	role     string
	cpu      float64 // cores
	memory   float64 // bytes
	bytes    float64 // a second, sent and received
	messages float64 // a second, sent and received as requests
	spread   float64 // the largest residual, relative to the mean of the points
	budgeted bool
}

// book looks up slopes and remembers the first one that is missing.
type book struct {
	slopes []dragonflyslope.Slope
	err    error
	spread float64
}

func (b *book) slope(driver, part, metric string) dragonflyslope.Slope {
	for _, s := range b.slopes {
		if s.Driver == driver && s.Part == part && s.Metric == metric {
			b.note(s)
			return s
		}
	}
	if b.err == nil {
		b.err = errors.Errorf("no slope of %s of %s against the number of %s", metric, part, driver)
	}
	return dragonflyslope.Slope{}
}

// note keeps the largest relative residual of the slopes that were used.
func (b *book) note(s dragonflyslope.Slope) {
	mean := 0.0
	for _, v := range s.Values {
		mean += v / float64(len(s.Values))
	}
	if mean > 0 {
		b.spread = max(b.spread, s.Residual/mean)
	}
}

// both returns the sum of the two directions of a relay's bytes.
func (b *book) both(driver, part string) (perServer, base float64) {
	in := b.slope(driver, part, dragonflyslopes.MetricBytesIn)
	out := b.slope(driver, part, dragonflyslopes.MetricBytesOut)
	return in.PerServer + out.PerServer, in.Base + out.Base
}

// atTarget returns a use that grows with both agents and entries, measured in two
// runs: with n agents and no entries' growth, and the increase for each entry.
func (b *book) atTarget(part, metric string) float64 {
	s := b.slope(PartAgents, part, metric)
	e := b.slope(PartEntries, part, metric)
	return s.At(agents) + e.PerServer*entries
}

// calls returns the rate of a call at the target size. A process counts a call
// from the first one on, so a call without a slope was never made; that the
// process was measured at all shows in its other slopes.
func (b *book) calls(part, call string) float64 {
	total := 0.0
	for _, s := range b.slopes {
		switch {
		case s.Part != part || s.Metric != call:
		case s.Driver == PartAgents:
			total += s.At(agents)
		case s.Driver == PartEntries:
			total += s.PerServer * entries
		}
	}
	return total
}

func (b *book) taken(u use) use {
	u.spread, b.spread = b.spread, 0
	return u
}

// uses returns the use of every role. entriesBeside is the number of entries in
// the run that the agents drove.
func (b *book) uses(entriesBeside float64) []use {
	reports, _ := b.both(PartAgents, PartReports)
	pairs, _ := b.both(PartAgents, PartHeartbeats)
	agent := use{
		role:   "agent, member",
		cpu:    b.slope(PartAgents, PartAgents, dragonflyslopes.MetricCPU).PerServer,
		memory: b.slope(PartLoneAgent, PartLoneAgent, dragonflyslopes.MetricResident).At(1),
		bytes:  reports + pairs*groupSize/(groupSize-1), budgeted: true,
		messages: 1 + heartbeats,
	}
	member := b.taken(agent)
	head := member
	// All heartbeats of a group pass through its head.
	head.role, head.bytes, head.messages = "agent, head", reports+pairs*groupSize, 1+heartbeats*(groupSize-1)

	watches, _ := b.both(PartEntries, PartWatches)
	growth, _ := b.both(PartLoaded, PartWatches)
	grown := b.slope(PartAgents, PartEntries, dragonflyslopes.MetricCPU)
	resident := b.slope(PartAgents, PartEntries, dragonflyslopes.MetricResident)
	// A slope below 0 is noise around no growth, which must not hide a use.
	entry := b.taken(use{
		role:   "entry",
		cpu:    b.slope(PartEntries, PartEntries, dragonflyslopes.MetricCPU).PerServer + max(grown.PerServer, 0)/entriesBeside*agents,
		memory: b.slope(PartLoneEntry, PartLoneEntry, dragonflyslopes.MetricResident).At(1) + max(resident.PerServer, 0)/entriesBeside*agents,
		bytes:  watches + max(growth, 0)/entriesBeside*agents, messages: 1, budgeted: true,
	})
	out := []use{member, head, entry}
	for _, part := range Controls {
		out = append(out, b.taken(use{
			role:     part,
			cpu:      b.atTarget(part, dragonflyslopes.MetricCPU),
			memory:   b.atTarget(part, dragonflyslopes.MetricResident),
			messages: b.calls(part, "/dragonfly.control/Report") + b.calls(part, "/dragonfly.control/Watch"),
		}))
	}
	return out
}

// heartbeats is the rate between a head and one member: one each 400 ms.
const heartbeats = 2.5

// Table returns the uses at the target size as a table in Markdown.
// entriesBeside is the number of entries in the run that the agents drove. A
// slope that is missing is an error that names it.
func Table(slopes []dragonflyslope.Slope, entriesBeside int) (text string, err error) {
	if entriesBeside < 1 {
		return "", errors.New("the run that the agents drive needs at least one entry")
	}
	b := &book{slopes: slopes}
	uses := b.uses(float64(entriesBeside))
	if b.err != nil {
		return "", b.err
	}
	var t strings.Builder
	t.WriteString("| Role | CPU, % of a core | Memory, MB | Control traffic, KB/s | Requests/s | Largest residual, % | Within the budget of a node |\n|---|---|---|---|---|---|---|\n")
	for _, u := range uses {
		fmt.Fprintf(&t, "| %s | %.2f | %.1f | %s | %.1f | %.1f | %s |\n",
			u.role, 100*u.cpu, u.memory/1e6, traffic(u), u.messages, 100*u.spread, u.verdict())
	}
	return t.String(), nil
}

func traffic(u use) string {
	if !u.budgeted {
		return "not measured"
	}
	return fmt.Sprintf("%.2f", u.bytes/1e3)
}

// verdict names what exceeds the budget.
func (u use) verdict() string {
	if !u.budgeted {
		return fmt.Sprintf("instance set aside, at most %d", budgetInstances)
	}
	var over []string
	if u.cpu > budgetCPU {
		over = append(over, "CPU")
	}
	if u.memory > budgetMemory {
		over = append(over, "memory")
	}
	if u.bytes > budgetBytes {
		over = append(over, "traffic")
	}
	if len(over) == 0 {
		return "yes"
	}
	return "no: " + strings.Join(over, ", ")
}
