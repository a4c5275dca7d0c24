// Package dragonflyoperations is what a control instance offers to operators and
// upstreams, apart from the form of the calls.
package dragonflyoperations

import (
	"context"

	"dragonflyrelay.example/library/values/dragonflyobservation"
	"github.com/pkg/errors"
)

// ErrInvalid marks a statement that must not be sent again unchanged.
var ErrInvalid = errors.New("statement is invalid")

// ErrUnavailable marks a call that may be repeated at another control instance.
// Whether a change was made is not known.
var ErrUnavailable = errors.New("control is not available")

// Operations are the calls. All fields must be set. Errors wrap ErrInvalid or
// ErrUnavailable.
type Operations struct {
	// Observe takes what an upstream says of itself. It returns once the leader
	// has it.
	Observe func(ctx context.Context, o dragonflyobservation.Observation) error
	// StoreDocument makes the routing document durable.
	StoreDocument func(ctx context.Context, content []byte) error
	// Document returns the routing document, nil if there is none yet. It is the
	// newest one that had been acknowledged before the call.
	Document func(ctx context.Context) (content []byte, err error)
	// SetZone takes an availability zone out or back in.
	SetZone func(ctx context.Context, zone string, out bool) error
}
