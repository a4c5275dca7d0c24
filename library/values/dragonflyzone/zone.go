// Package dragonflyzone is an availability zone.
package dragonflyzone

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
)

// Zone is an availability zone. The zero Zone is in service.
type Zone struct {
	name   string
	out    bool
	notice dragonflyduration.Duration
}

// Name returns the zone's name, unique in a configuration.
func (z Zone) Name() string { return z.name }

// WithName returns the zone with the zone's name, unique in a configuration set to v.
func (z Zone) WithName(v string) Zone {
	z.name = v
	return z
}

// Out returns whether operators have taken the zone out.
func (z Zone) Out() bool { return z.out }

// WithOut returns the zone with whether operators have taken the zone out set to v.
func (z Zone) WithOut(v bool) Zone {
	z.out = v
	return z
}

// Notice returns the time between a planned take-out and its effect, 0 if it holds at once.
func (z Zone) Notice() dragonflyduration.Duration { return z.notice }

// Planned returns whether the zone is in service until its notice is over.
func (z Zone) Planned() bool { return !z.out && z.notice > 0 }

// WithNotice returns the zone with the time between a planned take-out and its effect, 0 if it holds at once set to v.
func (z Zone) WithNotice(v dragonflyduration.Duration) Zone {
	z.notice = v
	return z
}
