// Package dragonflysurvivors defines what control asks about the servers beside those that crashed,
// to tell servers that stopped together from servers that stopped for reasons of their own.
package dragonflysurvivors

import "dragonflyrelay.example/library/common/dragonflyinstant"

// Survivors answers questions on the servers beside those that crashed.
type Survivors struct {
	// Site names the domain of a server, "" if it is not known. A server that has started again
	// under another id is not.
	Site func(server string) string
	// LivedOn reports whether most servers of the site have reported since the given instant.
	LivedOn func(site string, since dragonflyinstant.Instant) bool
}
