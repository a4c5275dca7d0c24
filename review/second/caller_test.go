package dragonflysecond

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Hosts, paths and keys of the config.
const (
	host    = "ficu95.example"
	once    = "/puxa403/"
	keyOfA  = "n2ctnfzs989anu6wsjnb"
	keyOfB  = "anfqasnmgkcuyj8pjbvk"
	service = "wuno96b"
)

// config returns a config with one route for requests that may run once at most, of a service
// without models, and two tenants.
func config(version, timeoutMS int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-once","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":%d,
"goal_ms":150,"priority":1,"service":%q,"max_attempts":1,"public":false,"sticky":false,"can_resume":false}],
"services":[{"name":%q,"health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":[%q],"priority":1},{"name":"tenant-b","api_keys":[%q],"priority":1}]}`,
		version, host, once, timeoutMS, service, service, keyOfA, keyOfB)
}

// answer is what a client has got.
type answer struct {
	status int // 0 for none
	body   string
	whole  bool
	seal   string
}

// client sends requests on kept channels of its own.
type client struct {
	front string
	http  *http.Client
}

func newClient(front string, limit time.Duration) *client {
	return &client{front: front, http: &http.Client{Timeout: limit, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// post sends one client attempt.
func (c *client) post(attempt, key, body string, limit time.Duration) (a answer) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.front+once+"2f", strings.NewReader(body))
	must(err)
	req.Host = host
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(raw), whole: err == nil, seal: resp.Header.Get("X-Server-Seal")}
}

// awaitService waits until an ordinary request is answered.
func (s *system) awaitService(front string) {
	c, n := newClient(front, time.Second), 0
	s.await("a request is answered", func() bool {
		n++
		return c.post(fmt.Sprintf("warm%012x", n), keyOfA, "{}", time.Second).status == http.StatusOK
	})
}

// withRoute adds a route of the same kind to the sound service.
func withRoute(c string) string {
	c = strings.Replace(c, `"routes":[`, fmt.Sprintf(`"routes":[{"name":"r-sound","host":%q,"path_prefix":%q,"kind":"non_idempotent","timeout_ms":2500,
"goal_ms":300,"priority":1,"service":%q,"max_attempts":1,"public":false,"sticky":false,"can_resume":false},`, host, sound, soundService), 1)
	return strings.Replace(c, `"services":[`, fmt.Sprintf(`"services":[{"name":%q,"health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0},`, soundService), 1)
}
