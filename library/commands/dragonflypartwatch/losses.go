package dragonflypartwatch

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyloss"
	"dragonflyrelay.example/library/values/dragonflypromptpart"
)

// Sequence returns the number of the latest loss.
func (w Watch) Sequence() uint64 { return w.sequence }

// Losses returns the losses with numbers above after that are not older than ReportTime.
func (w Watch) Losses(now dragonflyinstant.Instant, after uint64) (all []dragonflyloss.Loss) {
	for _, l := range w.losses {
		if l.sequence <= after || now.Sub(l.at) > ReportTime {
			continue
		}
		report := dragonflyloss.Loss{ID: l.id, Boot: l.boot, Age: now.Sub(l.at)}
		for id, depth := range l.parts.All() {
			p := dragonflypromptpart.Part{ID: id, Depth: depth}
			if at, ok := w.servedAt(id); ok {
				p.Served, p.ServedAge = true, now.Sub(at)
			}
			report.Parts = append(report.Parts, p)
		}
		all = append(all, report)
	}
	return all
}
