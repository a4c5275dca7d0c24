// Package dragonflyworkspace defines a customer's workspace.
package dragonflyworkspace

// Workspace is a customer whose calls carry the workspace's bearer key.
type Workspace struct {
	name        string
	keyHash     string
	class       string
	maxInFlight int
}

// Name returns the workspace's name, unique in a configuration.
func (w Workspace) Name() string { return w.name }

// WithName returns a copy of the workspace with name v.
func (w Workspace) WithName(v string) Workspace {
	w.name = v
	return w
}

// KeyHash returns the SHA-256 of the bearer key in 64 hex digits.
func (w Workspace) KeyHash() string { return w.keyHash }

// WithKeyHash returns a copy of the workspace with v as the SHA-256 of the bearer
// key in 64 hex digits.
func (w Workspace) WithKeyHash(v string) Workspace {
	w.keyHash = v
	return w
}

// Class returns the class of requests that name no class.
func (w Workspace) Class() string { return w.class }

// WithClass returns a copy of the workspace with class v for requests that name no
// class.
func (w Workspace) WithClass(v string) Workspace {
	w.class = v
	return w
}

// MaxInFlight returns the limit on concurrent requests per entry, 0 for none.
func (w Workspace) MaxInFlight() int { return w.maxInFlight }

// WithMaxInFlight returns a copy of the workspace with a limit of v concurrent
// requests per entry, 0 for none.
func (w Workspace) WithMaxInFlight(v int) Workspace {
	w.maxInFlight = v
	return w
}
