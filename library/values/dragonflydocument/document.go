// Package dragonflydocument defines the routing document, which operators
// replace as a whole.
package dragonflydocument

import (
	"strings"

	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflycallerlimits"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflydocumentworkspace"
	"dragonflyrelay.example/library/values/dragonflypathroute"
)

// Document is one version of the routing document. The zero Document has version 0
// and no routes.
type Document struct {
	version    uint64
	routes     dragonflymap.Map[string, []dragonflypathroute.Route] // by host
	services   dragonflymap.Map[string, dragonflydocumentservice.Service]
	workspaces dragonflymap.Map[string, dragonflydocumentworkspace.Workspace] // by name
	keys       dragonflymap.Map[string, string]                               // workspace name by key
	limits     dragonflycallerlimits.Limits

	// hasWorkspaceList is separate from the number of workspaces: an empty list means
	// that no key is valid, and no list that no key is needed.
	hasWorkspaceList bool
}

// Version returns the version of the document; higher ones replace lower ones.
func (d Document) Version() uint64 { return d.version }

// WithVersion returns the document with version v.
func (d Document) WithVersion(v uint64) Document {
	d.version = v
	return d
}

// Routes returns the routes by host.
func (d Document) Routes() dragonflymap.Map[string, []dragonflypathroute.Route] { return d.routes }

// WithRoute returns the document with r added. Each call copies the routes of the
// host; use WithRoutes to add many.
func (d Document) WithRoute(r dragonflypathroute.Route) Document {
	return d.WithRoutes([]dragonflypathroute.Route{r})
}

// WithRoutes returns the document with routes added.
func (d Document) WithRoutes(routes []dragonflypathroute.Route) Document {
	byHost := map[string][]dragonflypathroute.Route{}
	for _, r := range routes {
		byHost[r.Host] = append(byHost[r.Host], r)
	}
	for host, more := range byHost {
		old, _ := d.routes.Get(host)
		d.routes = d.routes.With(host, append(old[:len(old):len(old)], more...))
	}
	return d
}

// Route returns the route of the host with the longest prefix of path.
func (d Document) Route(host, path string) (route dragonflypathroute.Route, ok bool) {
	routes, _ := d.routes.Get(host)
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) && (!ok || len(r.Prefix) > len(route.Prefix)) {
			route, ok = r, true
		}
	}
	return route, ok
}

// Services returns the services by name.
func (d Document) Services() dragonflymap.Map[string, dragonflydocumentservice.Service] {
	return d.services
}

// WithService returns the document with service s, which replaces
// any service of the same name.
func (d Document) WithService(s dragonflydocumentservice.Service) Document {
	d.services = d.services.With(s.Name, s)
	return d
}

// Workspaces returns the workspaces by name.
func (d Document) Workspaces() dragonflymap.Map[string, dragonflydocumentworkspace.Workspace] {
	return d.workspaces
}

// RequiresKey reports whether requests need a key unless their route is public.
// They do if the document has a list of workspaces, even an empty one.
func (d Document) RequiresKey() bool { return d.hasWorkspaceList }

// WithWorkspaceList returns the document with a list of workspaces, which is empty until
// workspaces are added.
func (d Document) WithWorkspaceList() Document {
	d.hasWorkspaceList = true
	return d
}

// WithWorkspace returns the document with workspace w and its keys.
func (d Document) WithWorkspace(w dragonflydocumentworkspace.Workspace) Document {
	d = d.WithWorkspaceList()
	d.workspaces = d.workspaces.With(w.Name, w)
	for _, key := range w.Keys {
		d.keys = d.keys.With(key, w.Name)
	}
	return d
}

// WorkspaceByKey returns the workspace that holds the key. The empty key identifies none,
// even if a workspace lists it: it is what a request without a key has.
func (d Document) WorkspaceByKey(key string) (w dragonflydocumentworkspace.Workspace, ok bool) {
	name, ok := d.keys.Get(key)
	if !ok || key == "" {
		return w, false
	}
	return d.workspaces.Get(name)
}

// Limits returns the limits on callers' requests.
func (d Document) Limits() dragonflycallerlimits.Limits { return d.limits }

// WithLimits returns the document with limits l.
func (d Document) WithLimits(l dragonflycallerlimits.Limits) Document {
	d.limits = l
	return d
}
