package dragonflycluster

import (
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyresult"
	"dragonflyrelay.example/library/values/dragonflystoredclaim"
)

// Outcomes of a completed claim.
const (
	OutcomeDone    = "done"
	OutcomeUnknown = "unknown"
)

// claim grants the idempotency key to the owner of ch, or returns the state of
// the claim that already exists for the key.
func (c Cluster) claim(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	cl, ok := c.claims.Get(ch.ClaimKey)
	switch {
	case !ok:
		cl := dragonflystoredclaim.Claim{Key: ch.ClaimKey, Fingerprint: ch.Fingerprint, Owner: ch.Owner, At: ch.At}
		return c.withNewClaim(cl), c.claimResult(dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
	case cl.Fingerprint != ch.Fingerprint:
		r := c.claimResult(dragonflyresult.Result{Outcome: dragonflyresult.ClaimMismatch})
		r.Message = "the idempotency key was used with another method, path or body"
		return c, r
	case cl.Outcome == OutcomeDone:
		return c, c.storedResponse(cl)
	case cl.Outcome == OutcomeUnknown:
		return c, c.claimResult(dragonflyresult.Result{Outcome: dragonflyresult.ClaimUnknown})
	case cl.Owner == ch.Owner:
		return c, c.claimResult(dragonflyresult.Result{Outcome: dragonflyresult.ClaimGranted})
	default:
		return c, c.claimResult(dragonflyresult.Result{Outcome: dragonflyresult.ClaimInProgress})
	}
}

// release deletes a claim whose call has not run.
func (c Cluster) release(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	cl, fault := c.ownedClaim(ch)
	if fault != "" {
		return c, c.invalid(fault)
	}
	return c.withoutClaim(cl.Key), c.accepted()
}

// complete stores the response of the call, or that its outcome is unknown. If
// the response is too large to be stored, repeats get an unknown outcome, because
// the call has run.
func (c Cluster) complete(ch dragonflychange.Change) (Cluster, dragonflyresult.Result) {
	cl, fault := c.ownedClaim(ch)
	if fault != "" {
		return c, c.invalid(fault)
	}
	r := c.accepted()
	cl.Outcome = ch.Outcome
	if len(ch.Body) > MaxStoredBodyBytes {
		cl.Outcome = OutcomeUnknown
		r.Message = "the answer is larger than 64 KiB and is not stored; repeats get an unknown outcome"
	}
	if cl.Outcome == OutcomeDone {
		cl.Status, cl.Headers, cl.Body = ch.Status, ch.Headers, ch.Body
	}
	c.claims = c.claims.With(cl.Key, cl)
	return c, r
}

// ownedClaim returns the open claim of the owner of ch. If there is none, fault
// is the reason.
func (c Cluster) ownedClaim(ch dragonflychange.Change) (cl dragonflystoredclaim.Claim, fault string) {
	cl, ok := c.claims.Get(ch.ClaimKey)
	switch {
	case !ok:
		return cl, "the claim does not exist or has expired"
	case cl.Owner != ch.Owner:
		return cl, "the claim belongs to another request"
	case cl.Outcome != "":
		return cl, "the claim has been completed"
	}
	return cl, ""
}

// claimResult returns r with the version of the configuration in force.
func (c Cluster) claimResult(r dragonflyresult.Result) dragonflyresult.Result {
	r.Version = c.config.Version()
	return r
}

// storedResponse returns the result for a repeat of the completed call of cl.
func (c Cluster) storedResponse(cl dragonflystoredclaim.Claim) dragonflyresult.Result {
	r := c.claimResult(dragonflyresult.Result{Outcome: dragonflyresult.ClaimStored})
	r.Status, r.Headers, r.Body = cl.Status, cl.Headers, cl.Body
	return r
}

func (c Cluster) withNewClaim(cl dragonflystoredclaim.Claim) Cluster {
	c.lastClaim++
	c.claims = c.claims.With(cl.Key, cl)
	c.claimNumber = c.claimNumber.With(cl.Key, c.lastClaim)
	c.claimOrder = c.claimOrder.With(c.lastClaim, cl.Key)
	if c.claims.Len() > MaxClaims {
		c = c.withoutClaim(c.oldestClaim())
	}
	return c
}

func (c Cluster) withoutClaim(key string) Cluster {
	n, _ := c.claimNumber.Get(key)
	c.claims = c.claims.Without(key)
	c.claimNumber = c.claimNumber.Without(key)
	c.claimOrder = c.claimOrder.Without(n)
	return c
}

func (c Cluster) oldestClaim() string {
	for _, key := range c.claimOrder.All() {
		return key
	}
	return ""
}

// withoutExpired drops the claims that are older than ClaimLifetime at the
// wall-clock time at, in nanoseconds. The time is that of a change, so that all
// instances drop the same claims.
func (c Cluster) withoutExpired(at int64) Cluster {
	for c.claims.Len() > 0 {
		key := c.oldestClaim()
		cl, _ := c.claims.Get(key)
		if at-cl.At < int64(ClaimLifetime) {
			break
		}
		c = c.withoutClaim(key)
	}
	return c
}
