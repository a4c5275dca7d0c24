package dragonflyreview_test

import (
	"time"
)

// oneModel is the model of the config, with the times of the users' sheet.
const oneModel = `{"name":"m0","size":3,"share":1.0,"pace":1.0,"load_s":16.0,"warmup_s":1.6}`

// startEngines starts n machines with a model server and an agent each, in one domain.
func (s *system) startEngines(n int) (all []*server) {
	s.models["m0"] = model{size: 3, load: 16 * time.Second, warmup: 1600 * time.Millisecond}
	for i := range n {
		all = append(all, s.serve("llm", "side", i, "d0"))
		s.startAgent(i)
	}
	return all
}

// head returns the head of the open group, nil if there is none.
func (s *system) head() *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.servers {
		if g := u.group; g != nil && g.rank == 0 && g.state == "open" && !u.gone {
			return u
		}
	}
	return nil
}
