package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/operator"
)

// driftAllowance is the clock drift of 1 % for which a waiting party allows.
const driftAllowance = 1.01

// follow waits until a change is in force.
type follow struct {
	Wait time.Duration `default:"30s" help:"Longest time to wait until the change is in force; 0s: don't wait."`
}

// until returns the change as last seen. A change is in force when every member has applied
// it, or one window after its acceptance: a member that has not learned of it by then is
// not fresh and refuses.
func (f follow) until(s *session, client *operator.Client, change operator.Change) (operator.Change, error) {
	if f.Wait <= 0 {
		return change, nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, f.Wait)
	defer cancel()
	var window time.Duration // unknown while 0
	var accepted time.Time
	shown := operator.Change{}
	for {
		if change != shown {
			s.progress("revision %d: %s", change.Revision, describe(change))
			shown = change
		}
		if change.Accepted && accepted.IsZero() {
			accepted = time.Now()
		}
		if window == 0 && change.Accepted {
			if status, err := client.Status(ctx); err == nil {
				window = time.Duration(float64(status.Window) * driftAllowance)
			}
		}
		if change.Accepted && (change.Applied >= change.Members || window > 0 && time.Since(accepted) >= window) {
			return change, nil
		}
		if !wait(ctx) {
			return change, errors.Errorf("cli: revision %d is durable but not yet in force: %s", change.Revision, describe(change))
		}
		if latest, err := client.Change(ctx, change.Revision); err == nil {
			change = latest
		}
	}
}

func describe(c operator.Change) string {
	state := "durable, not yet accepted"
	if c.Accepted {
		state = "accepted"
	}
	return fmt.Sprintf("%s, applied by %d of %d hosts", state, c.Applied, c.Members)
}
