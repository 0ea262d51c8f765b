package cli

import (
	"fmt"

	"magnoliahoist/account"
	"magnoliahoist/operator"
)

type keyCommands struct {
	Issue    issueCommand    `cmd:"" help:"Issue a key; this is the only time that it is printed."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key."`
	List     listCommand     `cmd:"" help:"List the keys."`
}

type issueCommand struct {
	waitFlags
	Account string `arg:"" help:"Client account."`
	Label   string `placeholder:"TEXT" help:"What the key is for."`
}

// Run issues a key and waits until it is in force. It prints the key before it waits, because no host can return the key
// again.
func (c issueCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	issued, err := client.IssueKey(s.ctx, operator.KeyRequest{Account: c.Account, Label: c.Label})
	if err != nil {
		return err
	}
	if err := s.print(issued, fmt.Sprintf("key %s\nid  %s", issued.Key, issued.ID)); err != nil {
		return err
	}
	_, err = c.waitUntilInForce(s, client, issued.Change)
	return err
}

type withdrawCommand struct {
	waitFlags
	ID string `arg:"" help:"Id of the key, as printed by list."`
}

// Run withdraws a key and waits until no host accepts it any more.
func (c withdrawCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	change, err := client.WithdrawKey(s.ctx, c.ID)
	if err != nil {
		return err
	}
	if change, err = c.waitUntilInForce(s, client, change); err != nil {
		return err
	}
	return s.print(change, "withdrawn: "+describeChange(change))
}

type listCommand struct{}

// Run prints the id, client account, state and label of each key, but not the keys themselves.
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
