// Package dragonflydocument is the routing document that operators send whole.
package dragonflydocument

import (
	"strings"

	"dragonflyrelay.example/library/common/dragonflymap"
	"dragonflyrelay.example/library/values/dragonflycallerlimits"
	"dragonflyrelay.example/library/values/dragonflydocumentservice"
	"dragonflyrelay.example/library/values/dragonflydocumentworkspace"
	"dragonflyrelay.example/library/values/dragonflypathroute"
)

// Document is everything that one version of the routing document states. The
// zero Document has version 0 and routes nothing.
type Document struct {
	version    uint64
	routes     dragonflymap.Map[string, []dragonflypathroute.Route] // by host
	services   dragonflymap.Map[string, dragonflydocumentservice.Service]
	workspaces dragonflymap.Map[string, dragonflydocumentworkspace.Workspace] // by name
	keys       dragonflymap.Map[string, string]                               // key to name of its holder
	limits     dragonflycallerlimits.Limits
}

// Version returns the number of the document; higher ones replace lower ones.
func (d Document) Version() uint64 { return d.version }

// WithVersion returns the document with version v.
func (d Document) WithVersion(v uint64) Document {
	d.version = v
	return d
}

// Routes yields the routes by host.
func (d Document) Routes() dragonflymap.Map[string, []dragonflypathroute.Route] { return d.routes }

// WithRoute returns the document with one more route. A document with many routes
// is made by WithRoutes, since each call copies the routes of the host.
func (d Document) WithRoute(r dragonflypathroute.Route) Document {
	return d.WithRoutes([]dragonflypathroute.Route{r})
}

// WithRoutes returns the document with more routes.
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

// WithService returns the document with service s in place of the one of its name.
func (d Document) WithService(s dragonflydocumentservice.Service) Document {
	d.services = d.services.With(s.Name, s)
	return d
}

// Workspaces returns the workspaces by name.
func (d Document) Workspaces() dragonflymap.Map[string, dragonflydocumentworkspace.Workspace] {
	return d.workspaces
}

// RequiresKey reports whether requests need a key unless their route is public.
func (d Document) RequiresKey() bool { return d.workspaces.Len() > 0 }

// WithWorkspace returns the document with workspace h and its keys.
func (d Document) WithWorkspace(h dragonflydocumentworkspace.Workspace) Document {
	d.workspaces = d.workspaces.With(h.Name, h)
	for _, key := range h.Keys {
		d.keys = d.keys.With(key, h.Name)
	}
	return d
}

// WorkspaceByKey returns the workspace that holds the key.
func (d Document) WorkspaceByKey(key string) (h dragonflydocumentworkspace.Workspace, ok bool) {
	name, ok := d.keys.Get(key)
	if !ok {
		return h, false
	}
	return d.workspaces.Get(name)
}

// Limits returns the bounds on what callers send.
func (d Document) Limits() dragonflycallerlimits.Limits { return d.limits }

// WithLimits returns the document with bounds l.
func (d Document) WithLimits(l dragonflycallerlimits.Limits) Document {
	d.limits = l
	return d
}
