// Package dragonflychange is a command to the replicated state machine.
package dragonflychange

import (
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

// kind tells what a Change does.
type kind uint8

// Kinds of changes. Those up to SetGroupSize are made by operators and name the
// version that they were based on.
const (
	SetClass kind = iota + 1
	RemoveClass
	SetWorkspace
	RemoveWorkspace
	SetService
	RemoveService
	SetZone
	SetGroupSize
	// FormGroup records a group; the state machine allots its id and fence.
	FormGroup
	// DissolveGroup removes a group.
	DissolveGroup
	// Claim reserves an idempotency key.
	Claim
	// Release gives a claim back whose call has not run.
	Release
	// Complete stores the answer of a claimed call, or that it is unknown.
	Complete
	// StoreDocument replaces the routing document if Version is higher.
	StoreDocument
	// TakeOutZone and TakeInZone state whether the named zone may get work.
	TakeOutZone
	TakeInZone
)

// Change is one command. Only the fields of its kind are set.
type Change struct {
	// ID identifies the change; a repeat gets the first result.
	ID string
	// Kind tells what the change does.
	Kind kind
	// Operator names who made the change.
	Operator string
	// At is the wall-clock time at the proposer in nanoseconds since 1970.
	At int64
	// Base is the configuration version that an operator's change rests on.
	Base uint64

	// Class, Workspace, Service and Zone are the new values of Set changes; a
	// Remove change reads only the name.
	Class     dragonflyclass.Class
	Workspace dragonflyworkspace.Workspace
	Service   dragonflyservice.Service
	Zone      dragonflyzone.Zone
	// GroupSize is the number of instances of a replica.
	GroupSize int

	// Group names the group of DissolveGroup.
	Group uint64
	// Model and Members describe the group of FormGroup.
	Model   string
	Members []dragonflymember.Member

	// ClaimKey is workspace, service and idempotency key, each preceded by its
	// length, so that no two triples collide.
	ClaimKey string
	// Fingerprint is the SHA-256 of method, path and body in hex.
	Fingerprint string
	// Owner identifies the request that holds the claim.
	Owner string
	// Outcome is "done" or "unknown" for Complete.
	Outcome string
	// Status, Headers and Body are the stored answer of Complete.
	Status  int
	Headers [][2]string
	Body    []byte

	// Version and Content are the routing document of StoreDocument, in compressed
	// form. The state machine does not look into the content.
	Version uint64
	Content []byte
	// ZoneName is the zone of TakeOutZone and TakeInZone.
	ZoneName string
}
