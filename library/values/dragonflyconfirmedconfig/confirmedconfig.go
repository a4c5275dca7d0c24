// Package dragonflyconfirmedconfig defines the configuration of an agent with its
// last confirmation by control.
package dragonflyconfirmedconfig

import (
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflyconditions"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflyorders"
)

// ConfirmedConfig is the newest configuration and the time at which it was last
// confirmed to be in force. The zero ConfirmedConfig has never been confirmed.
type ConfirmedConfig struct {
	config      dragonflyconfig.Config
	confirmedAt dragonflyinstant.Instant
}

// Config returns the newest configuration.
func (cc ConfirmedConfig) Config() dragonflyconfig.Config { return cc.config }

// ConfirmedAt returns the time at which the configuration was last confirmed to be
// in force, 0 if never.
func (cc ConfirmedConfig) ConfirmedAt() dragonflyinstant.Instant { return cc.confirmedAt }

// WithOrders returns the configuration after control answered o to a report that
// was sent at sent. The confirmation age in o counts from then, so that it is never
// understated. An older configuration never replaces a newer one.
func (cc ConfirmedConfig) WithOrders(sent dragonflyinstant.Instant, o dragonflyorders.Orders) ConfirmedConfig {
	if o.HasConfig && o.Config.Version() > cc.config.Version() {
		cc.config = o.Config
	}
	cc.confirmedAt = max(cc.confirmedAt, sent.Add(-o.ConfirmationAge))
	return cc
}

// Conditions returns c with the configuration and its confirmation time.
func (cc ConfirmedConfig) Conditions(c dragonflyconditions.Conditions) dragonflyconditions.Conditions {
	c.Config, c.ConfirmedAt = cc.config, cc.confirmedAt
	return c
}
