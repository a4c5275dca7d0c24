package dragonflycrashes

import (
	"dragonflyrelay.example/library/common/dragonflyduration"
	"dragonflyrelay.example/library/common/dragonflyinstant"
	"dragonflyrelay.example/library/values/dragonflycrash"
	"dragonflyrelay.example/library/values/dragonflyquarantinedpart"
	"dragonflyrelay.example/library/values/dragonflysurvivors"
)

// aloneTime is the time from the report of a crash in which sound requests are answered
// elsewhere and the other servers of the domain report. Crashes of one moment count apart after
// it only.
const aloneTime = 1500 * dragonflyduration.Millisecond

// WithSurvivors returns the crashes after a look at what lived on at now: those of servers that
// crashed at the same moment as others count apart if most of their site lived on.
func (s Crashes) WithSurvivors(now dragonflyinstant.Instant, v dragonflysurvivors.Survivors) Crashes {
	for k, c := range s.all.All() {
		age := now.Sub(c.ReportedAt())
		if c.Alone() || age > confirmTime {
			continue
		}
		if c.Site() == "" {
			c = c.WithSite(v.Site(c.Server()))
			s.all = s.all.With(k, c)
		}
		if c.Confirmed() && age >= aloneTime && c.Site() != "" && s.sharesMoment(c) && v.LivedOn(c.Site(), c.At()) {
			s.all = s.all.With(k, c.WithAlone())
			s.changes++
		}
	}
	return s
}

// sharesMoment reports whether another server crashed at the moment of c.
func (s Crashes) sharesMoment(c dragonflycrash.Crash) bool {
	for _, other := range s.all.All() {
		if apart := other.At().Sub(c.At()); other.Confirmed() && (other.Server() != c.Server() || other.Boot() != c.Boot()) &&
			apart < dragonflyquarantinedpart.MomentLength && -apart < dragonflyquarantinedpart.MomentLength {
			return true
		}
	}
	return false
}
