// Package dragonflyoperations defines the operations of a control instance for
// operators and upstreams, independent of the transport.
package dragonflyoperations

import (
	"context"

	"dragonflyrelay.example/library/values/dragonflyobservation"
	"github.com/pkg/errors"
)

// ErrInvalid is the error for a request that must not be sent again unchanged.
var ErrInvalid = errors.New("statement is invalid")

// ErrUnavailable is the error for a call that may be retried at another control
// instance. The failed call may or may not have made its change.
var ErrUnavailable = errors.New("control is not available")

// Operations are the operations of a control instance. All fields must be set.
// Errors wrap ErrInvalid or ErrUnavailable. The context of an operation ends when its
// caller gives up.
type Operations struct {
	// Observe accepts a status report of an upstream. It returns once the leader
	// has received it.
	Observe func(ctx context.Context, o dragonflyobservation.Observation) error
	// StoreDocument stores the routing document durably.
	StoreDocument func(ctx context.Context, content []byte) error
	// Document returns the latest routing document that was acknowledged before
	// the call, or nil if there is none.
	Document func(ctx context.Context) (content []byte, err error)
	// SetZone takes an availability zone out of service or puts it back.
	SetZone func(ctx context.Context, zone string, out bool) error
}
