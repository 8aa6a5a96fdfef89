package command

import "io"

// rollCommand puts an approved bundle into force.
type rollCommand struct {
	versionCommand
}

func newRoll(out io.Writer) subcommand {
	return subcommand{"roll", "Put an approved bundle into force",
		"Signs the order to put the newest published bundle, which must be approved, into force on all hosts.",
		&rollCommand{versionCommand{out: out}}}
}

// Execute implements flags.Commander.
func (c *rollCommand) Execute([]string) error {
	target, err := c.target()
	if err != nil {
		return err
	}
	return c.submit(c.out, target.signer.Roll(target.version, target.digest, target.sequence))
}
