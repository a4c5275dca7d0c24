// Package dragonflyconfirmedconfig is what an agent knows from control.
package dragonflyconfirmedconfig

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyorders"
)

// ConfirmedConfig is the newest configuration and when it was last known to be in
// force. The zero Knowledge has never heard from control.
type ConfirmedConfig struct {
	config      dragonflyconfig.Config
	confirmedAt dragonflyinstant.Instant
}

// Config returns the newest configuration.
func (k ConfirmedConfig) Config() dragonflyconfig.Config { return k.config }

// ConfirmedAt returns when the configuration was last known to be in force, 0
// if never.
func (k ConfirmedConfig) ConfirmedAt() dragonflyinstant.Instant { return k.confirmedAt }

// WithOrders returns the knowledge after control answered o to a report that was
// sent at sent. The age in o counts from then, so that it is never understated.
// An older configuration never replaces a newer one.
func (k ConfirmedConfig) WithOrders(sent dragonflyinstant.Instant, o dragonflyorders.Orders) ConfirmedConfig {
	if o.HasConfig && o.Config.Version() > k.config.Version() {
		k.config = o.Config
	}
	k.confirmedAt = max(k.confirmedAt, sent.Add(-o.ConfirmationAge))
	return k
}

// Conditions returns c with what control says.
func (k ConfirmedConfig) Conditions(c dragonflyconditions.Conditions) dragonflyconditions.Conditions {
	c.Config, c.ConfirmedAt = k.config, k.confirmedAt
	return c
}
