package cli

import (
	"fmt"

	"magnoliahoist/account"
	"magnoliahoist/operator"
)

type keyCommands struct {
	Issue    issueCommand    `cmd:"" help:"Issue a key; its text is printed once."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key."`
	List     listCommand     `cmd:"" help:"List the keys."`
}

type issueCommand struct {
	follow
	Account string `arg:"" help:"Client account."`
	Label   string `placeholder:"TEXT" help:"What the key is for."`
}

// Run prints the key before it waits, because the key can't be had a second time.
func (c issueCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	issued, err := client.IssueKey(s.ctx, operator.Request{Account: c.Account, Label: c.Label})
	if err != nil {
		return err
	}
	if err := s.print(issued, fmt.Sprintf("key %s\nid  %s", issued.Key, issued.ID)); err != nil {
		return err
	}
	_, err = c.until(s, client, issued.Change)
	return err
}

type withdrawCommand struct {
	follow
	ID string `arg:"" help:"Id of the key, as list prints it."`
}

// Run withdraws a key and waits until no host accepts it.
func (c withdrawCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	change, err := client.WithdrawKey(s.ctx, c.ID)
	if err != nil {
		return err
	}
	if change, err = c.until(s, client, change); err != nil {
		return err
	}
	return s.print(change, "withdrawn: "+describe(change))
}

type listCommand struct{}

// Run lists the keys by their ids.
func (listCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	keys, err := client.Keys(s.ctx)
	if err != nil {
		return err
	}
	rows := [][]any{{"ID", "ACCOUNT", "STATE", "LABEL"}}
	for _, key := range keys {
		state := "valid"
		if key.Withdrawn {
			state = "withdrawn"
		}
		rows = append(rows, []any{key.Digest, key.Account, state, key.Label})
	}
	return s.printRows(map[string][]account.Key{"keys": keys}, rows)
}
