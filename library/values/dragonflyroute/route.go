// Package dragonflyroute is one place to which an entry can send work.
package dragonflyroute

import (
	"dragonflyrelay.example/library/values/dragonflyload"
)

// Route is a group with its head, or one instance of a plain service.
type Route struct {
	// Key identifies the route: "g" and the group's id, or "i" and the
	// instance's id.
	Key string
	// Group and Fence name the group; 0 for a service.
	Group, Fence uint64
	// Model names what a group serves.
	Model string
	// Service names what a service instance serves.
	Service string
	// Instance is the id of the head or of the service's instance.
	Instance string
	// Address is the IP and port of that instance's agent.
	Address string
	// Region and Zone tell where that instance is.
	Region, Zone string
	// Zones lists every zone that the group has members in.
	Zones []string
	// Ready tells that the route can take work.
	Ready bool
	// Silent tells that control does not hear the group's instances but has no
	// other sign that they are lost: they may be cut off from control alone. An
	// entry may try a silent route if it has no ready one.
	Silent bool
	// CrossDomain tells that the group spans several fabric domains, so that it
	// may serve only classes that allow it.
	CrossDomain bool
	// Load is control's latest knowledge, up to a few seconds old.
	Load dragonflyload.Load
}
