package dragonflypartwatch

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/common/dragonflymap"
)

// maxAnswers bounds each of the two generations of answers.
const maxAnswers = 2048

// answers holds the times of the latest answers by key. Keys move to the older generation
// when the younger one is full, and are dropped from there, so that those in use stay.
type answers struct {
	younger, older dragonflymap.Map[string, dragonflyinstant.Instant]
}

func (a answers) with(id string, at dragonflyinstant.Instant) answers {
	a.younger = a.younger.With(id, at)
	if a.younger.Len() >= maxAnswers {
		a.older, a.younger = a.younger, dragonflymap.Map[string, dragonflyinstant.Instant]{}
	}
	return a
}

func (a answers) at(id string) (at dragonflyinstant.Instant, ok bool) {
	if at, ok = a.younger.Get(id); ok {
		return at, true
	}
	return a.older.Get(id)
}
