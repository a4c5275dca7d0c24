package dragonflyreview_test

import (
	"net/http"
	"regexp"
	"strings"
	"time"
)

func init() { cases["revoke"] = runRevoke }

// runRevoke has an operator that takes the only key away. With the disruption, the tenant
// goes with it.
func runRevoke(s *system) bool {
	s.startCore(1, "")
	s.serve("app", "plain", 0, "")
	s.awaitService("read", 1)
	stop := s.load("read", 1, 50*time.Millisecond, 1200*time.Millisecond)
	time.Sleep(contact + time.Second)
	next := strings.Replace(configText(2, ""), `"api_keys":["`+apiKey+`"]`, `"api_keys":[]`, 1)
	if s.trouble {
		next = regexp.MustCompile(`"tenants":\[.*\]`).ReplaceAllString(configText(2, ""), `"tenants":[]`)
	}
	acked := s.operator(http.MethodPut, "/config", next, 0, 1, 2)
	time.Sleep(10 * time.Second)
	stop()
	s.noteAnswers()
	for _, u := range s.servers {
		late := u.since(acked.Add(5 * time.Second))
		s.note("%d requests run later than revoke_ms", len(late))
		return len(late) > 0
	}
	return false
}
