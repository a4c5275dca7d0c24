// Package dragonflyzone defines an availability zone.
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

// WithName returns a copy of the zone with name v.
func (z Zone) WithName(v string) Zone {
	z.name = v
	return z
}

// Out reports whether operators have taken the zone out of service.
func (z Zone) Out() bool { return z.out }

// WithOut returns a copy of the zone that is out of service if v is set.
func (z Zone) WithOut(v bool) Zone {
	z.out = v
	return z
}

// Notice returns the time between a planned removal from service and its effect, 0
// if it takes effect at once.
func (z Zone) Notice() dragonflyduration.Duration { return z.notice }

// Planned reports whether the zone is in service until its notice is over.
func (z Zone) Planned() bool { return !z.out && z.notice > 0 }

// WithNotice returns a copy of the zone with notice v, 0 if a removal from service
// takes effect at once.
func (z Zone) WithNotice(v dragonflyduration.Duration) Zone {
	z.notice = v
	return z
}
