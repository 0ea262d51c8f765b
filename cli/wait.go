package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/operator"
)

// driftAllowance is the factor by which the freshness window is lengthened, for a clock of this process that runs up to 1 %
// faster than a host's.
const driftAllowance = 1.01

// waitFlags holds the flags of commands that wait until a change is in force.
type waitFlags struct {
	Wait time.Duration `default:"30s" help:"Longest time to wait until the change is in force; 0s: don't wait."`
}

// waitUntilInForce returns the change as last read. A change is in force once every member has applied it, or one freshness
// window after its acceptance: a member that has not received it by then is not fresh and refuses requests. It fails if the
// change is not in force within the flag's time.
func (f waitFlags) waitUntilInForce(s *session, client *operator.Client, change operator.Change) (operator.Change, error) {
	if f.Wait <= 0 {
		return change, nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, f.Wait)
	defer cancel()
	var window time.Duration // freshness window of the host; 0: not read yet
	var acceptedAt time.Time
	printed := operator.Change{}
	for {
		if change != printed {
			s.printProgress("revision %d: %s", change.Revision, describeChange(change))
			printed = change
		}
		if change.Accepted && acceptedAt.IsZero() {
			acceptedAt = time.Now()
		}
		if window == 0 && change.Accepted {
			if status, err := client.Status(ctx); err == nil {
				window = time.Duration(float64(status.FreshnessWindow) * driftAllowance)
			}
		}
		if change.Accepted && (change.Applied >= change.Members || window > 0 && time.Since(acceptedAt) >= window) {
			return change, nil
		}
		if !waitForPoll(ctx) {
			return change, errors.Errorf("cli: unable to confirm the change: revision %d is durable but not yet in force: %s", change.Revision, describeChange(change))
		}
		if latest, err := client.Change(ctx, change.Revision); err == nil {
			change = latest
		}
	}
}

// describeChange returns the progress of a change as text.
func describeChange(c operator.Change) string {
	state := "durable, not yet accepted"
	if c.Accepted {
		state = "accepted"
	}
	return fmt.Sprintf("%s, applied by %d of %d hosts", state, c.Applied, c.Members)
}
