// Package dragonflydocumentworkspace defines one workspace of a routing document.
package dragonflydocumentworkspace

// Workspace is a workspace and the API keys of its callers.
type Workspace struct {
	// Name is the workspace's name, which is sent to upstreams.
	Name string
	// Keys lists the API keys of its callers.
	Keys []string
	// Rank overrides the rank of a route if HasRank is set; 0 is the most urgent.
	Rank    int
	HasRank bool
}
