package dragonflycluster

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflychange"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyconfig"
	"dragonflyrelay.example/library/values/dragonflymember"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
)

// Bounds of the fields of changes.
const (
	maxItems            = 1_000 // items of each kind; the target size has a few hundred in all
	maxNameBytes        = 64
	maxIDBytes          = 128
	maxKeyBytes         = 1_024
	maxPriority         = 255
	maxGroupSize        = 64 // members
	maxDuration         = 24 * dragonflyduration.Hour
	maxInFlight         = 1_000_000 // requests
	sha256HexChars      = 64
	maxDocumentBytes    = 4 << 20
	maxWithdrawnEngines = 1_024
	maxOpenings         = 1_024
	maxQuarantineKeys   = 8_192
)

// checkChange validates ch independently of the state. It returns "" if ch is
// valid. Kinds up to SetGroupSize are changes of the configuration, which name
// their operator.
func checkChange(ch dragonflychange.Change) (fault string) {
	switch {
	case ch.ID == "" || len(ch.ID) > maxIDBytes:
		return fmt.Sprintf("id must have 1 to %d bytes", maxIDBytes)
	case ch.Kind <= dragonflychange.SetGroupSize && (ch.Operator == "" || len(ch.Operator) > maxIDBytes):
		return fmt.Sprintf("operator must have 1 to %d bytes", maxIDBytes)
	}
	switch ch.Kind {
	case dragonflychange.SetClass:
		return checkClass(ch.Class)
	case dragonflychange.RemoveClass:
		return checkName("class", ch.Class.Name())
	case dragonflychange.SetWorkspace:
		return checkWorkspace(ch.Workspace)
	case dragonflychange.RemoveWorkspace:
		return checkName("workspace", ch.Workspace.Name())
	case dragonflychange.SetService:
		return checkService(ch.Service)
	case dragonflychange.RemoveService:
		return checkName("service", ch.Service.Name())
	case dragonflychange.SetZone:
		return firstFault(checkName("zone", ch.Zone.Name()), checkDuration("notice", ch.Zone.Notice()))
	case dragonflychange.SetGroupSize:
		return checkRange("group size", ch.GroupSize, 1, maxGroupSize)
	case dragonflychange.FormGroup:
		return checkGroup(ch.Model, ch.Members)
	case dragonflychange.DissolveGroup:
		return ""
	case dragonflychange.StoreDocument:
		return checkRange("size of the document", len(ch.Content), 1, maxDocumentBytes)
	case dragonflychange.TakeOutZone, dragonflychange.ReturnZone:
		return checkName("zone", ch.ZoneName)
	case dragonflychange.WithdrawMembers:
		return checkWithdrawal(ch.Withdrawal)
	case dragonflychange.RecordOpenings:
		return checkOpenings(ch.Opened)
	case dragonflychange.RecordQuarantine:
		return checkQuarantine(ch.Quarantine)
	case dragonflychange.ReleaseKey:
		return checkRange("length of the key", len(ch.Key), 1, maxKeyBytes)
	case dragonflychange.Claim, dragonflychange.Release, dragonflychange.Complete:
		return checkClaim(ch)
	}
	return fmt.Sprintf("kind %d is not known", ch.Kind)
}

// firstFault returns the first fault that is not "".
func firstFault(faults ...string) string {
	for _, f := range faults {
		if f != "" {
			return f
		}
	}
	return ""
}

func checkName(what, name string) (fault string) {
	ok := name != "" && len(name) <= maxNameBytes
	for _, r := range name {
		ok = ok && (r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || strings.ContainsRune("-._", r))
	}
	if ok {
		return ""
	}
	return fmt.Sprintf("%s name %q must have 1 to %d characters of a-z, 0-9, '-', '.' and '_'", what, name, maxNameBytes)
}

func checkRange(what string, v, lo, hi int) (fault string) {
	if v >= lo && v <= hi {
		return ""
	}
	return fmt.Sprintf("%s is %d, but must be between %d and %d", what, v, lo, hi)
}

func checkDuration(what string, d dragonflyduration.Duration) (fault string) {
	if d >= 0 && d <= maxDuration {
		return ""
	}
	return fmt.Sprintf("%s is %d ms, but must be between 0 and 24 h", what, d.Milliseconds())
}

func checkClass(c dragonflyclass.Class) (fault string) {
	return firstFault(
		checkName("class", c.Name()),
		checkRange("priority", c.Priority(), 0, maxPriority),
		checkRange("answered (per mille)", c.Answered(), 0, 1000),
		checkRange("complete (per mille)", c.Complete(), 0, 1000),
		checkDuration("first token", c.FirstToken()),
		checkDuration("gap", c.Gap()),
		checkDuration("deadline", c.Deadline()),
	)
}

func checkWorkspace(w dragonflyworkspace.Workspace) (fault string) {
	validHash := strings.Trim(w.KeyHash(), "0123456789abcdef") == "" && len(w.KeyHash()) == sha256HexChars
	if !validHash {
		return "key hash must be a SHA-256 in 64 lower-case hex digits"
	}
	return firstFault(
		checkName("workspace", w.Name()),
		checkName("class", w.Class()),
		checkRange("in-flight bound", w.MaxInFlight(), 0, maxInFlight),
	)
}

func checkService(s dragonflyservice.Service) (fault string) {
	for _, m := range s.IdempotentMethods() {
		if m == "" || len(m) > maxNameBytes || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			return fmt.Sprintf("idempotent method %q must be an HTTP method in upper case", m)
		}
	}
	return firstFault(checkName("service", s.Name()), checkDuration("timeout", s.Timeout()))
}

func checkGroup(model string, members []dragonflymember.Member) (fault string) {
	if model == "" {
		return "group has no model"
	}
	if fault := checkRange("number of members", len(members), 1, maxGroupSize); fault != "" {
		return fault
	}
	seen := map[string]bool{}
	for _, m := range members {
		if m.Instance == "" || m.AgentAddress == "" {
			return "each member needs an instance and the address of its agent"
		}
		if seen[m.Instance] {
			return fmt.Sprintf("instance %s is named twice", m.Instance)
		}
		seen[m.Instance] = true
	}
	return ""
}

func checkClaim(ch dragonflychange.Change) (fault string) {
	switch {
	case ch.ClaimKey == "" || len(ch.ClaimKey) > maxKeyBytes:
		return fmt.Sprintf("claim key must have 1 to %d bytes", maxKeyBytes)
	case ch.Owner == "" || len(ch.Owner) > maxIDBytes:
		return fmt.Sprintf("owner must have 1 to %d bytes", maxIDBytes)
	case ch.Kind == dragonflychange.Claim && ch.Fingerprint == "":
		return "fingerprint is missing"
	case ch.Kind == dragonflychange.Complete && ch.Outcome != OutcomeDone && ch.Outcome != OutcomeUnknown:
		return fmt.Sprintf("outcome is %q, but must be %q or %q", ch.Outcome, OutcomeDone, OutcomeUnknown)
	}
	return ""
}

// checkWorkspaceIn validates w against the rest of cfg. It returns "" if w is
// valid.
func checkWorkspaceIn(cfg dragonflyconfig.Config, w dragonflyworkspace.Workspace) (fault string) {
	if _, ok := cfg.Classes().Get(w.Class()); !ok {
		return fmt.Sprintf("class %q does not exist", w.Class())
	}
	if other, ok := cfg.WorkspaceByKeyHash(w.KeyHash()); ok && other.Name() != w.Name() {
		return fmt.Sprintf("workspace %q has the same key", other.Name())
	}
	return checkCount(cfg.WithWorkspace(w).Workspaces().Len(), "workspaces")
}

// checkCount validates the number of items of a kind.
func checkCount(n int, what string) (fault string) {
	if n <= maxItems {
		return ""
	}
	return fmt.Sprintf("there cannot be more than %d %s", maxItems, what)
}
