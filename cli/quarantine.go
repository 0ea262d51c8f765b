package cli

import (
	"strings"

	"magnoliahoist/operator"
)

type quarantineCommands struct {
	List partsCommand `cmd:"" help:"List the prompt parts that an entry host suspects of crashing engines."`
	Lift liftCommand  `cmd:"" help:"Take a prompt part to be sound, on all entry hosts."`
}

type partsCommand struct{}

// Run prints the prompt parts under suspicion.
func (partsCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	parts, err := client.Quarantine(s.ctx)
	if err != nil {
		return err
	}
	return s.printRows(parts, partRows(parts))
}

// partRows returns the rows of a human-readable list of prompt parts.
func partRows(parts []operator.QuarantinedPart) [][]any {
	rows := [][]any{{"POOL", "PART", "STATE", "FOR", "CRASHES", "TRIALS", "PROCESSES"}}
	for _, p := range parts {
		state := "suspected"
		if p.Blocked {
			state = "blocked"
		}
		rows = append(rows, []any{p.Pool, p.Part, state, p.For, p.Crashes, p.Trials, strings.Join(p.Processes, " ")})
	}
	return rows
}

type liftCommand struct {
	Pool string `arg:"" help:"Pool of the engines."`
	Part string `arg:"" help:"Id of the part, as printed by list."`
}

// Run lifts the suspicion of a prompt part.
func (c liftCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	if err := client.LiftPart(s.ctx, c.Pool, c.Part); err != nil {
		return err
	}
	return s.print(map[string]string{"lifted": c.Part}, "lifted "+c.Part)
}
