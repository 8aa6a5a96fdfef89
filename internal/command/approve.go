package command

import "io"

// approveCommand approves a published bundle.
type approveCommand struct {
	versionCommand
}

func newApprove(out io.Writer) subcommand {
	return subcommand{"approve", "Approve a published bundle",
		"Signs an approval of the newest published bundle. The approver must differ from the publisher.",
		&approveCommand{versionCommand{out: out}}}
}

// Execute implements flags.Commander.
func (c *approveCommand) Execute([]string) error {
	target, err := c.target()
	if err != nil {
		return err
	}
	return c.submit(c.out, target.signer.Approve(target.version, target.digest, target.sequence))
}
