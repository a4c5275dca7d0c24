// Package dragonflyelectionround defines the outcome of one round of an election, for logs.
package dragonflyelectionround

// ElectionRound is the outcome of one round of pre-votes and votes that has elected nobody.
type ElectionRound struct {
	// Granted names the members that granted the vote, sorted.
	Granted []string
	// Refused names the members that refused it, each with the reason, sorted. Members in
	// neither list have not answered.
	Refused []string
}
