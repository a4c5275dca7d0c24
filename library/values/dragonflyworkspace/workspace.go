// Package dragonflyworkspace is a customer's tenant.
package dragonflyworkspace

// Workspace is a tenant whose calls carry its bearer key.
type Workspace struct {
	name        string
	keyHash     string
	class       string
	maxInFlight int
}

// Name returns the workspace's name, unique in a configuration.
func (w Workspace) Name() string { return w.name }

// WithName returns the workspace with the workspace's name, unique in a configuration set to v.
func (w Workspace) WithName(v string) Workspace {
	w.name = v
	return w
}

// KeyHash returns the SHA-256 of the bearer key in 64 hex digits.
func (w Workspace) KeyHash() string { return w.keyHash }

// WithKeyHash returns the workspace with the SHA-256 of the bearer key in 64 hex digits set to v.
func (w Workspace) WithKeyHash(v string) Workspace {
	w.keyHash = v
	return w
}

// Class returns the class of requests that name none.
func (w Workspace) Class() string { return w.class }

// WithClass returns the workspace with the class of requests that name none set to v.
func (w Workspace) WithClass(v string) Workspace {
	w.class = v
	return w
}

// MaxInFlight returns the bound on concurrent requests per entry, 0 for none.
func (w Workspace) MaxInFlight() int { return w.maxInFlight }

// WithMaxInFlight returns the workspace with the bound on concurrent requests per entry, 0 for none set to v.
func (w Workspace) WithMaxInFlight(v int) Workspace {
	w.maxInFlight = v
	return w
}
