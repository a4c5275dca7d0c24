package dragonflywaitingroom

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflywaitingrequest"
)

// late returns the requests of the queue whose turn comes after the caller timeout if the
// endpoints do work at the given rate. It projects the turns in the order in which
// release lets requests leave.
func (m model) late(now dragonflyinstant.Instant, queue []dragonflywaitingrequest.Request, rate float64) (late []dragonflywaitingrequest.Request) {
	ahead, got := -m.allowance, map[string]dragonflyduration.Duration{}
	for k, v := range m.got.All() {
		got[k] = v
	}
	for len(queue) > 0 {
		n := 1
		for n < len(queue) && isEqual(now, queue[0], queue[n]) {
			n++
		}
		late = append(late, inTurn(queue[:n], got, func(q dragonflywaitingrequest.Request) bool {
			if now.Add(dragonflyduration.Duration(float64(ahead+q.Work)/rate)) > q.Until {
				return false
			}
			ahead += q.Work
			return true
		})...)
		queue = queue[n:]
	}
	return late
}

// inTurn passes requests to serve, each time the first one of the workspace that has got
// least, and adds the work of those served to got. It returns the others.
func inTurn(queue []dragonflywaitingrequest.Request, got map[string]dragonflyduration.Duration, serve func(q dragonflywaitingrequest.Request) bool) (others []dragonflywaitingrequest.Request) {
	var names []string
	waiting := map[string][]int{} // indexes of the queue by workspace
	for i, q := range queue {
		if len(waiting[q.Workspace]) == 0 {
			names = append(names, q.Workspace)
		}
		waiting[q.Workspace] = append(waiting[q.Workspace], i)
	}
	for range queue {
		least, found := "", false
		for _, name := range names {
			if len(waiting[name]) == 0 {
				continue
			}
			if !found || got[name] < got[least] || got[name] == got[least] && waiting[name][0] < waiting[least][0] {
				least, found = name, true
			}
		}
		q := queue[waiting[least][0]]
		waiting[least] = waiting[least][1:]
		if !serve(q) {
			others = append(others, q)
			continue
		}
		got[least] += q.Work
	}
	return others
}
