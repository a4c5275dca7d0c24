package dragonflybalance

import (
	"dragonflyrelay.example/library/commands/dragonflyleaving"
	"dragonflyrelay.example/library/common/dragonflyinstant"
)

// Leaving returns the endpoints whose answers say that they leave.
func (b Balance) Leaving() dragonflyleaving.Leaving { return b.leaving }

// withoutOldSignals drops what earlier starts of endpoints have said, and endpoints that
// are gone, after a complete table.
func (b Balance) withoutOldSignals(now dragonflyinstant.Instant) Balance {
	b.leaving = b.leaving.WithTable(now, b.boot)
	return b
}

// boot returns the start of the endpoint id in the table.
func (b Balance) boot(id string) (boot int64, ok bool) {
	e, ok := b.endpoints.Get(id)
	return e.Boot, ok
}
