package dragonflyforwarder_test

import (
	"strings"
	"testing"

	"dragonflyrelay.example/library/common/dragonflycompression"
	"dragonflyrelay.example/library/values/dragonflyfollowrequest"
	"dragonflyrelay.example/library/values/dragonflyfollowresponse"
	. "github.com/smartystreets/goconvey/convey"
)

// assertStatuses checks the statuses of requests with a key and without one when the
// field tenants of the document is replaced, on a route that is public or not.
func assertStatuses(tenants string, public bool, withKey, withoutKey int) {
	text := strings.Replace(document, `"tenants":[{"name":"t1","api_keys":["k1"]}],`, tenants, 1)
	if public {
		text = strings.Replace(text, `"path_prefix":"/read/",`, `"path_prefix":"/read/","public":true,`, 1)
	}
	packed, err := dragonflycompression.Compress([]byte(text))
	So(err, ShouldBeNil)
	u := newUpstream(plainResponse("x"))
	e := newEntryWithControl(0, nil, func(_ dragonflyfollowrequest.Request, n *dragonflyfollowresponse.Response) { n.Content = packed },
		u.endpoint("a", "app"))
	for key, status := range map[string]int{"k1": withKey, "": withoutKey} {
		got, _, err := e.call("GET", "/read/1", "Api-Key", key)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, status)
	}
}

// TestRequiredKeys guards against requests that run with a key that the document in force
// has taken away, or without any.
func TestRequiredKeys(t *testing.T) {
	for name, c := range map[string]struct {
		tenants             string
		public              bool
		withKey, withoutKey int
	}{
		"no list of workspaces":               {"", false, 200, 200},
		"an empty list":                       {`"tenants":[],`, false, 401, 401},
		"a null list":                         {`"tenants":null,`, false, 401, 401},
		"workspaces without keys":             {`"tenants":[{"name":"t1","api_keys":[]}],`, false, 401, 401},
		"a workspace that holds the key":      {`"tenants":[{"name":"t1","api_keys":["k1"]}],`, false, 200, 401},
		"an empty list and a public route":    {`"tenants":[],`, true, 200, 200},
		"an empty key beside the key":         {`"tenants":[{"name":"t1","api_keys":["","k1"]}],`, false, 200, 401},
		"another workspace's key is required": {`"tenants":[{"name":"t2","api_keys":["k2"]}],`, false, 401, 401},
	} {
		Convey("With "+name, t, func() { assertStatuses(c.tenants, c.public, c.withKey, c.withoutKey) })
	}
}
