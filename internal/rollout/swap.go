package rollout

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"toucangap/internal/platform"
)

// swapUntilKnown retries a compare-and-swap until its outcome is known or the
// context ends. Retrying after a lost response is safe: if the first attempt took
// effect, the key has another revision, and the retry returns a
// *platform.ConflictError with the current value, which shows whether the
// operation took effect.
func swapUntilKnown(ctx context.Context, client *platform.Client, swap platform.Swap) (int64, error) {
	var unknownOutcome error
	for failures := 1; ; failures++ {
		revision, err := client.CompareAndSwap(ctx, swap)
		if !isTransient(err) {
			return revision, err
		}
		if errors.Is(err, platform.ErrOutcomeUnknown) {
			unknownOutcome = err
		}
		if platform.Sleep(ctx, client.Clock(), client.Backoff(failures, platform.MaxBackoff)) == nil {
			continue
		}
		if unknownOutcome != nil {
			return 0, unknownOutcome
		}
		return 0, merry.Prepend(err, "context ended while retrying")
	}
}

// isTransient reports whether an error may go away by itself.
func isTransient(err error) bool {
	return errors.Is(err, platform.ErrOutcomeUnknown) ||
		errors.Is(err, platform.ErrUnreachable) ||
		errors.Is(err, platform.ErrBudgetExhausted)
}
