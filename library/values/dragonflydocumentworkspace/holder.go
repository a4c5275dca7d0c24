// Package dragonflydocumentworkspace is one workspace of a routing document.
package dragonflydocumentworkspace

// Workspace is a workspace and the keys by which its callers are known.
type Workspace struct {
	// Name is the workspace's name, which upstreams are told.
	Name string
	// Keys are the keys of its callers.
	Keys []string
	// Rank overrides the rank of a route if HasRank is set; 0 is the most urgent.
	Rank    int
	HasRank bool
}
