// Package dragonflycluster implements the replicated state machine of control:
// the configuration, the groups with their fencing numbers, and the idempotency
// claims. It is deterministic: equal changes in equal order give equal states and
// results.
package dragonflycluster

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflylist"
	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclusterstate"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflygroup"
	"dragonflyrelay.example/library/values/dragonflyhistory"
	"dragonflyrelay.example/library/values/dragonflyquarantinerecord"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflystoredclaim"
	"dragonflyrelay.example/library/values/dragonflystoredresult"
	"dragonflyrelay.example/library/values/dragonflywithdrawal"
)

// Bounds of the state.
const (
	// MaxStoredResults is the number of latest changes whose results are kept, so
	// that a repeat gets the same result.
	MaxStoredResults = 10_000
	// MaxHistory is the number of latest operator changes kept for display.
	MaxHistory = 1_000
	// MaxClaims is the number of claims kept; the oldest one is dropped first.
	MaxClaims = 100_000
	// ClaimLifetime is how long a claim is kept, by the timestamps of the changes.
	ClaimLifetime = 24 * dragonflyduration.Hour
	// MaxStoredBodyBytes is the size in bytes of the largest response body that is
	// stored.
	MaxStoredBodyBytes = 64 << 10
	// MaxWithdrawals is the number of latest withdrawals kept. One matters until its head is
	// broken, some seconds.
	MaxWithdrawals = 256
	// MaxOpened is the number of latest groups kept whose heads have opened: twice those of the
	// largest fleet. An opening that is dropped costs a later leader time only.
	MaxOpened = 1_024
)

// Cluster is the replicated state. The zero value is empty.
type Cluster struct {
	config    dragonflyconfig.Config
	lastGroup uint64
	lastFence uint64
	groups    dragonflymap.Map[uint64, dragonflygroup.Group]

	claims      dragonflymap.Map[string, dragonflystoredclaim.Claim]
	claimOrder  dragonflymap.Map[uint64, string] // claim number to key, oldest first
	claimNumber dragonflymap.Map[string, uint64]
	lastClaim   uint64

	storedResults dragonflymap.Map[string, dragonflystoredresult.StoredResult]
	resultOrder   dragonflylist.List[string] // ids, oldest first
	history       dragonflylist.List[dragonflyhistory.Entry]

	documentVersion uint64 // of the routing document
	document        []byte // the routing document as it was received
	outZones        dragonflymap.Map[string, bool]
	withdrawals     dragonflylist.List[dragonflywithdrawal.Withdrawal] // oldest first
	opened          dragonflylist.List[string]                         // names of groups, oldest first
	quarantine      dragonflyquarantinerecord.Record
}

// FromState returns the cluster restored from the state of a snapshot.
func FromState(s dragonflyclusterstate.State) Cluster {
	c := Cluster{
		config: s.Config, lastGroup: s.LastGroup, lastFence: s.LastFence, documentVersion: s.Version, document: s.Content,
		quarantine: s.Quarantine,
	}
	for _, z := range s.OutZones {
		c.outZones = c.outZones.With(z, true)
	}
	for _, f := range s.Withdrawals {
		c.withdrawals = c.withdrawals.With(f)
	}
	for _, name := range s.Opened {
		c.opened = c.opened.With(name)
	}
	for _, g := range s.Groups {
		c.groups = c.groups.With(g.ID, g)
	}
	for _, cl := range s.Claims {
		c = c.withNewClaim(cl)
	}
	for _, a := range s.StoredResults {
		c = c.withStoredResult(a)
	}
	for _, h := range s.History {
		c.history = c.history.With(h)
	}
	return c
}

// State returns the state for a snapshot.
func (c Cluster) State() dragonflyclusterstate.State {
	s := dragonflyclusterstate.State{
		Config: c.config, LastGroup: c.lastGroup, LastFence: c.lastFence,
		Groups: c.Groups(), History: c.history.Items(),
		Version: c.documentVersion, Content: c.document, OutZones: c.OutZones(), Withdrawals: c.Withdrawals(), Opened: c.Opened(),
		Quarantine: c.quarantine,
	}
	for _, key := range c.claimOrder.All() {
		cl, _ := c.claims.Get(key)
		s.Claims = append(s.Claims, cl)
	}
	for _, id := range c.resultOrder.All() {
		a, _ := c.storedResults.Get(id)
		s.StoredResults = append(s.StoredResults, a)
	}
	return s
}

// Config returns the configuration in force.
func (c Cluster) Config() dragonflyconfig.Config { return c.config }

// LastFence returns the highest fencing number assigned so far.
func (c Cluster) LastFence() uint64 { return c.lastFence }

// Groups returns a copy of the groups, ordered by id.
func (c Cluster) Groups() []dragonflygroup.Group {
	var groups []dragonflygroup.Group
	for _, g := range c.groups.All() {
		groups = append(groups, g)
	}
	return groups
}

// History returns a copy of the latest operator changes, oldest first.
func (c Cluster) History() []dragonflyhistory.Entry { return c.history.Items() }

// Claims returns the number of claims kept.
func (c Cluster) Claims() int { return c.claims.Len() }

// Size returns the number of groups, claims, stored results and history entries.
// The cost of a snapshot, apart from the configuration and the routing document,
// is proportional to it.
func (c Cluster) Size() int {
	return c.groups.Len() + c.claims.Len() + c.resultOrder.Len() + c.history.Len()
}

// Apply returns the cluster after the change ch, and its result. A change that is
// invalid or in conflict has no effect other than removing expired claims and
// storing its result, and none at all if it is malformed. A change with the id of
// an earlier one gets the result of that one again, unless the earlier one was
// malformed or is not among the latest MaxStoredResults. A change of kind 0 has no
// effect.
func (c Cluster) Apply(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	if ch.Kind == 0 {
		return c, dragonflyresult.Result{}
	}
	if a, ok := c.storedResults.Get(ch.ID); ok {
		return c, c.resultOfRetry(a)
	}
	if fault := checkChange(ch); fault != "" {
		return c, c.invalid(fault)
	}
	c = c.withoutExpired(ch.At)
	var r dragonflyresult.Result
	switch ch.Kind {
	case dragonflychange.FormGroup:
		c, r = c.formGroup(ch)
	case dragonflychange.DissolveGroup:
		c, r = c.dissolveGroup(ch)
	case dragonflychange.Claim:
		c, r = c.claim(ch)
	case dragonflychange.Release:
		c, r = c.release(ch)
	case dragonflychange.Complete:
		c, r = c.complete(ch)
	case dragonflychange.StoreDocument, dragonflychange.TakeOutZone, dragonflychange.ReturnZone:
		c, r = c.applyUnversioned(ch)
	case dragonflychange.WithdrawMembers:
		c, r = c.withdrawMembers(ch)
	case dragonflychange.RecordOpenings:
		c, r = c.recordOpenings(ch)
	case dragonflychange.RecordQuarantine:
		c, r = c.recordQuarantine(ch)
	case dragonflychange.ReleaseKey:
		c, r = c.releaseKey(ch)
	default:
		c, r = c.configure(ch)
	}
	a := dragonflystoredresult.StoredResult{ID: ch.ID, Claim: ch.ClaimKey, Result: r}
	a.Result.Headers, a.Result.Body = nil, nil
	return c.withStoredResult(a), r
}

// resultOfRetry returns the result of a change that was applied before. The
// response of a completed call is read from its claim.
func (c Cluster) resultOfRetry(a dragonflystoredresult.StoredResult) dragonflyresult.Result {
	if a.Result.Outcome != dragonflyresult.ClaimStored {
		return a.Result
	}
	cl, ok := c.claims.Get(a.Claim)
	if !ok {
		return dragonflyresult.Result{Outcome: dragonflyresult.ClaimUnknown, Version: a.Result.Version, Message: "the stored answer has expired"}
	}
	return c.storedResponse(cl)
}

func (c Cluster) withStoredResult(a dragonflystoredresult.StoredResult) Cluster {
	if c.resultOrder.Len() >= MaxStoredResults {
		c.storedResults = c.storedResults.Without(c.resultOrder.At(0))
		c.resultOrder = c.resultOrder.Slice(1, c.resultOrder.Len())
	}
	c.storedResults = c.storedResults.With(a.ID, a)
	c.resultOrder = c.resultOrder.With(a.ID)
	return c
}

func (c Cluster) accepted() dragonflyresult.Result {
	return dragonflyresult.Result{Outcome: dragonflyresult.Accepted, Version: c.config.Version()}
}

func (c Cluster) invalid(message string) dragonflyresult.Result {
	return dragonflyresult.Result{Outcome: dragonflyresult.Invalid, Version: c.config.Version(), Message: message}
}
