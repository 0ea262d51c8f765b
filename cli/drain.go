package cli

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/operator"
)

type drainCommand struct {
	Wait time.Duration `default:"15m" help:"Longest time to wait until the host has stopped; 0s: don't wait."`
}

// Run begins a planned stop and waits until connections to the host are refused or another process responds at its address.
func (c drainCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	initial, err := client.Status(s.ctx)
	if err != nil {
		return err
	}
	if err := client.Drain(s.ctx); err != nil {
		return err
	}
	if c.Wait <= 0 {
		return s.print(operator.Health{State: operator.Draining}, "draining")
	}
	ctx, cancel := context.WithTimeout(s.ctx, c.Wait)
	defer cancel()
	printed := -1
	for {
		status, err := client.Status(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) || err == nil && status.Host != initial.Host {
			return s.print(map[string]string{"stopped": initial.Host}, "stopped "+initial.Host)
		}
		if left := status.ActiveRequests + status.QueuedRequests; err == nil && left != printed {
			s.printProgress("%s: %s, requests left: %d", status.Host, status.State, left)
			printed = left
		}
		if !waitForPoll(ctx) {
			return errors.Errorf("cli: unable to confirm the stop: host %s has not stopped yet", initial.Host)
		}
	}
}
