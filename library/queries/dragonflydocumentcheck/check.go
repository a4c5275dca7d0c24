// Package dragonflydocumentcheck validates routing documents.
package dragonflydocumentcheck

import (
	"fmt"
	"strings"

	"dragonflyrelay.example/library/values/dragonflydocument"
	"dragonflyrelay.example/library/values/dragonflypathroute"
)

// Fault describes the first error that it finds in the document d; it returns "" if
// d is valid.
func Fault(d dragonflydocument.Document) string {
	if d.Version() == 0 {
		return "the version is missing"
	}
	for host, routes := range d.Routes().All() {
		prefixes := map[string]string{}
		for _, r := range routes {
			if other, ok := prefixes[r.Prefix]; ok {
				return fmt.Sprintf("routes %q and %q share host %q and prefix %q", other, r.Name, host, r.Prefix)
			}
			prefixes[r.Prefix] = r.Name
			if fault := routeFault(d, r); fault != "" {
				return fmt.Sprintf("route %q: %s", r.Name, fault)
			}
		}
	}
	return keyFault(d)
}

func routeFault(d dragonflydocument.Document, r dragonflypathroute.Route) string {
	switch {
	case r.Host == "":
		return "the host is missing"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return "the timeout must be positive"
	}
	sum := 0.0
	for _, t := range r.Targets {
		if _, ok := d.Services().Get(t.Service); !ok {
			return fmt.Sprintf("service %q does not exist", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Sprintf("the weight of service %q is negative", t.Service)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return "the weights add up to 0"
	}
	return ""
}

func keyFault(d dragonflydocument.Document) string {
	workspaces := map[string]string{}
	for _, w := range d.Workspaces().All() {
		for _, key := range w.Keys {
			if other, ok := workspaces[key]; ok && other != w.Name {
				return fmt.Sprintf("workspaces %q and %q share a key", other, w.Name)
			}
			workspaces[key] = w.Name
		}
	}
	return ""
}
