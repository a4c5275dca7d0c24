// Package dragonflyroute defines a destination to which an entry can send work.
package dragonflyroute

import (
	"dragonflyrelay.example/library/values/dragonflyload"
)

// Route is a group with its head, or one instance of a plain service.
type Route struct {
	// Key identifies the route: "g" and the group's id, or "i" and the
	// instance's id.
	Key string
	// Group and Fence identify the group; 0 for a service.
	Group, Fence uint64
	// Model names the model that a group serves.
	Model string
	// Service names the service of a service instance.
	Service string
	// Instance is the id of the head or of the service's instance.
	Instance string
	// Address is the IP and port of that instance's agent.
	Address string
	// Region and Zone are the location of that instance.
	Region, Zone string
	// Zones lists every zone that the group has members in.
	Zones []string
	// Ready reports whether the route can accept work.
	Ready bool
	// Silent reports that control receives no reports from the group's instances,
	// but has no other sign that they are lost: they may only be cut off from
	// control. An entry may try a silent route if it has no ready one.
	Silent bool
	// CrossDomain reports whether the group spans several fabric domains, so that
	// it may serve only classes that allow it.
	CrossDomain bool
	// Load is the latest load that control has received, up to a few seconds old.
	Load dragonflyload.Load
}
