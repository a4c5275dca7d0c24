package dragonflycontrolserver

import (
	"context"
	"log/slog"
	"runtime/debug"

	"github.com/pkg/errors"
)

// essential returns a duty that calls cancel if the named duty fails or panics: an instance
// that runs without one of its duties must not pass for a sound one. Its supervisor starts
// the process again.
func essential(cancel context.CancelCauseFunc, name string, duty func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) (err error) {
		defer func() {
			if v := recover(); v != nil {
				slog.Error("duty panicked", "duty", name, "panic", v, "stack", string(debug.Stack()))
				err = errors.Errorf("duty %s panicked: %v", name, v)
			}
			if err != nil && ctx.Err() == nil {
				cancel(err)
			}
		}()
		return duty(ctx)
	}
}
