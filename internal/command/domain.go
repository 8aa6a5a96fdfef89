package command

import (
	"io"

	"github.com/rotisserie/eris"
)

// domainCommand excludes a failure domain or includes it again.
type domainCommand struct {
	operatorOptions
	Reason string `long:"reason" description:"why, for other operators"`
	Args   struct {
		Direction string `positional-arg-name:"out|in" description:"out of service, or back in"`
		Domain    string `positional-arg-name:"DOMAIN" description:"failure domain"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

func newDomain(out io.Writer) subcommand {
	return subcommand{"domain", "Exclude a failure domain or include it again",
		"Takes a failure domain out of service, or puts it back into service. Any host accepts the command, even while the log is unavailable.",
		&domainCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *domainCommand) Execute([]string) error {
	if c.Args.Direction != "out" && c.Args.Direction != "in" {
		return eris.Wrapf(ErrUsage, "direction %q must be out or in", c.Args.Direction)
	}
	signer, status, err := c.signerAndStatus()
	if err != nil {
		return err
	}
	isExcluded := c.Args.Direction == "out"
	return c.submit(c.out, signer.Mark(c.Args.Domain, isExcluded, c.Reason, status.Config.Stamp, c.sequence(status)))
}
