// Package dragonflydescription formats the operators' settings as names and values,
// so that every front end shows them in the same form.
package dragonflydescription

import (
	"strconv"
	"strings"

	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/values/dragonflyclass"
	"dragonflyrelay.example/library/values/dragonflyservice"
	"dragonflyrelay.example/library/values/dragonflyworkspace"
	"dragonflyrelay.example/library/values/dragonflyzone"
)

// Class returns the names and values of a class's settings.
func Class(c dragonflyclass.Class) [][2]string {
	return [][2]string{
		{"priority", strconv.Itoa(c.Priority())},
		{"answered", Share(c.Answered())},
		{"first-token", Duration(c.FirstToken())},
		{"gap", Duration(c.Gap())},
		{"complete", Share(c.Complete())},
		{"deadline", Duration(c.Deadline())},
		{"cross-domain", strconv.FormatBool(c.CrossDomain())},
	}
}

// Workspace returns the names and values of a workspace's settings. The hash of the
// key is cut to its first 8 hex digits, which suffice to distinguish two keys.
func Workspace(w dragonflyworkspace.Workspace) [][2]string {
	hash := w.KeyHash()
	return [][2]string{
		{"class", orNone(w.Class())},
		{"key-hash", orNone(hash[:min(len(hash), 8)])},
		{"max-in-flight", strconv.Itoa(w.MaxInFlight())},
	}
}

// Service returns the names and values of a service's settings.
func Service(s dragonflyservice.Service) [][2]string {
	return [][2]string{
		{"idempotent-methods", orNone(strings.Join(s.IdempotentMethods(), ","))},
		{"timeout", Duration(s.Timeout())},
	}
}

// Zone returns the names and values of a zone's state.
func Zone(z dragonflyzone.Zone) [][2]string {
	state := "in"
	switch {
	case z.Out():
		state = "out"
	case z.Planned():
		state = "to be taken out"
	}
	return [][2]string{{"state", state}, {"notice", Duration(z.Notice())}}
}

// Share formats a share in per mille as a percentage, "none" if it is 0.
func Share(perMille int) string {
	if perMille == 0 {
		return "none"
	}
	return strconv.FormatFloat(float64(perMille)/10, 'f', -1, 64) + "%"
}

// Duration formats d in minutes, seconds or milliseconds, "none" if it is 0.
func Duration(d dragonflyduration.Duration) string {
	switch {
	case d == 0:
		return "none"
	case d%dragonflyduration.Minute == 0:
		return strconv.FormatInt(int64(d/dragonflyduration.Minute), 10) + "m"
	case d%dragonflyduration.Second == 0:
		return strconv.FormatInt(int64(d/dragonflyduration.Second), 10) + "s"
	default:
		return strconv.FormatFloat(float64(d)/float64(dragonflyduration.Millisecond), 'f', -1, 64) + "ms"
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
