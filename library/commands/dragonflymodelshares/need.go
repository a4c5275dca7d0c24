package dragonflymodelshares

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflymodelload"
)

// minGroups is the number of groups that each model must have for the groups of an earlier
// plan to be taken over. Fewer are what losses have left.
const minGroups = 2

// need returns the number of groups that the work of m would keep busy: those that are
// busy, increased in the proportion of all work to the work that is not refused. While no
// group serves, it is the work at the cost that was seen last.
func (m model) need(fallbackCost float64) float64 {
	served := m.work - m.refused
	if m.load.Groups > 0 && m.busy > 0 && m.work > 0 {
		if served*maxGrowth <= m.work {
			return m.busy * maxGrowth
		}
		return m.busy * m.work / served
	}
	if m.cost > 0 {
		return m.work * m.cost
	}
	return m.work * fallbackCost * m.load.Pace
}

// shareNeeds returns the share of the engines that each model needs, nil if none needs any.
// The shares add up to the sum of the configured ones.
func (sv service) shareNeeds() (shares map[string]float64) {
	fallback, configured, total := 0.0, 0.0, 0.0
	for _, m := range sv.models.All() {
		configured += m.load.Share
		if m.load.Pace > 0 {
			fallback = max(fallback, m.cost/m.load.Pace)
		}
	}
	shares = map[string]float64{}
	for name, m := range sv.models.All() {
		shares[name] = m.need(fallback) * float64(m.load.Size)
		total += shares[name]
	}
	if total <= 0 {
		return nil
	}
	sum := 0.0
	for name := range sv.models.All() {
		shares[name] = max(shares[name]/total, minShare)
		sum += shares[name]
	}
	for name := range sv.models.All() {
		shares[name] *= configured / sum
	}
	return shares
}

// sharesByNeed returns the shares by need and the model that causes the change, nil unless
// a model that is short gains at least MinChange.
func (sv service) sharesByNeed() (planned map[string]float64, short string) {
	needs := sv.shareNeeds()
	for name, m := range sv.models.All() {
		if sv.isShort(m) && needs != nil && needs[name]-sv.share(m) >= MinChange {
			return needs, name
		}
	}
	return nil, ""
}

// share returns the share of m in force.
func (sv service) share(m model) float64 {
	if sv.planned != nil {
		return sv.planned[m.load.Model]
	}
	return m.load.Share
}

// sharesOfGroups returns the shares of the engines in the groups that serve, if the plan
// of an earlier leader explains them: they differ from the configured shares, and the
// needs are nearer to them. It returns nil otherwise.
func (sv service) sharesOfGroups() (shares map[string]float64) {
	needs := sv.shareNeeds()
	engines, configured := 0.0, 0.0
	for _, m := range sv.models.All() {
		if m.load.Groups < minGroups || needs == nil {
			return nil
		}
		engines += float64(m.load.Groups * m.load.Size)
		configured += m.load.Share
	}
	shares = map[string]float64{}
	differs, ofGroups, ofConfigured := false, 0.0, 0.0
	for name, m := range sv.models.All() {
		shares[name] = float64(m.load.Groups*m.load.Size) / engines * configured
		differs = differs || abs(shares[name]-m.load.Share) >= MinChange
		ofGroups += abs(needs[name] - shares[name])
		ofConfigured += abs(needs[name] - m.load.Share)
	}
	if !differs || ofGroups >= ofConfigured {
		return nil
	}
	return shares
}

func abs(x float64) float64 { return max(x, -x) }

// describe describes the planned shares with what they replace and their inputs.
func (sv service) describe(s Shares, now dragonflyinstant.Instant, loads []dragonflymodelload.Load, before map[string]float64, reason string) string {
	oldest := dragonflyduration.Duration(0)
	for _, r := range s.reports.All() {
		oldest = max(oldest, now.Sub(r.at))
	}
	var parts []string
	for _, l := range loads {
		m, _ := sv.models.Get(l.Model)
		old, ok := before[l.Model]
		if !ok {
			old = l.Share
		}
		parts = append(parts, fmt.Sprintf("%s %.2f to %.2f (work %.0f tokens/s, refused %.0f, first events at %.2f of the objective, %.1f of %d groups busy)",
			l.Model, old, sv.planned[l.Model], m.work, m.refused, m.delay, m.busy, l.Groups))
	}
	return fmt.Sprintf("%s: %s; %d entries, reports up to %.1f s old, averages over %g s",
		reason, strings.Join(parts, ", "), s.reports.Len(), oldest.Seconds(), averagingTime.Seconds())
}
