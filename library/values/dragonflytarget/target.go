// Package dragonflytarget defines a service to which a route sends a share of its
// requests.
package dragonflytarget

// Target is a service and its share of a route's requests.
type Target struct {
	// Service names the service.
	Service string
	// Weight is the share in proportion to the other weights of the route.
	Weight float64
}
