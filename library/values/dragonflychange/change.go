// Package dragonflychange defines the commands to the replicated state machine.
package dragonflychange

import (
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

// kind is the type of a change.
type kind uint8

// Kinds of changes. Those up to SetGroupSize are made by operators and name the
// configuration version that they are based on.
const (
	SetClass kind = iota + 1
	RemoveClass
	SetWorkspace
	RemoveWorkspace
	SetService
	RemoveService
	SetZone
	SetGroupSize
	// FormGroup records a group; the state machine assigns its id and fencing
	// number.
	FormGroup
	// DissolveGroup removes a group.
	DissolveGroup
	// Claim reserves an idempotency key.
	Claim
	// Release drops the claim of a call that has not run.
	Release
	// Complete stores the answer of a claimed call, or that its outcome is unknown.
	Complete
	// StoreDocument replaces the routing document if Version is higher.
	StoreDocument
	// TakeOutZone takes the named zone out of service; ReturnZone returns it to
	// service.
	TakeOutZone
	ReturnZone
	// WithdrawMembers records that engines are ordered to leave a group whose head may be at
	// work, so that a later leader does not take them for free.
	WithdrawMembers
	// RecordOpenings records that the heads of groups have opened, so that a later leader does
	// not wait for orders to open them.
	RecordOpenings
	// RecordQuarantine replaces the recorded quarantine, which outlasts all processes.
	RecordQuarantine
	// ReleaseKey is made by operators and ends the quarantine of Key. It is based on no version.
	ReleaseKey
)

// Change is one command. Only the fields of its kind are set.
type Change struct {
	// ID identifies the change; a retry with the same ID gets the first result.
	ID string
	// Kind is the type of the change.
	Kind kind
	// Operator names who made the change.
	Operator string
	// At is the wall-clock time at the proposer in nanoseconds since 1970.
	At int64
	// Base is the configuration version that an operator's change is based on.
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
	// form. The state machine does not decode the content.
	Version uint64
	Content []byte
	// ZoneName is the zone of TakeOutZone and ReturnZone.
	ZoneName string
	// Seen is the index of the log entry up to which the proposer of TakeOutZone or
	// ReturnZone knew the changes of the zone while its caller was still waiting. The
	// leader refuses the change if a later entry concerns the same zone. 0 means that the
	// change is not bound to an entry.
	Seen uint64

	// Withdrawal belongs to WithdrawMembers.
	Withdrawal dragonflywithdrawal.Withdrawal
	// Opened are the names of the groups of RecordOpenings.
	Opened []string
	// Key is the quarantined key of ReleaseKey.
	Key string
	// Quarantine is the record of RecordQuarantine.
	Quarantine dragonflyquarantinerecord.Record
}

// SameZone reports whether c and d both take the same zone out of service or return it.
func (c Change) SameZone(d Change) bool {
	return c.movesZone() && d.movesZone() && c.ZoneName == d.ZoneName
}

func (c Change) movesZone() bool { return c.Kind == TakeOutZone || c.Kind == ReturnZone }
