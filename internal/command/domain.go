package command

import (
	"io"

	"github.com/rotisserie/eris"
)

// domainVerb marks a failure domain out of service or back in.
type domainVerb struct {
	operatorOptions
	Reason string `long:"reason" description:"why, for other operators"`
	Args   struct {
		Mark   string `positional-arg-name:"out|in" description:"out of service, or back in"`
		Domain string `positional-arg-name:"DOMAIN" description:"failure domain"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

func newDomain(out io.Writer) verb {
	return verb{"domain", "Mark a failure domain out of service or back in",
		"Takes a failure domain out of service, or back in. It works at any host, also while the log is out.",
		&domainVerb{out: out}}
}

// Execute implements flags.Commander.
func (v *domainVerb) Execute([]string) error {
	if v.Args.Mark != "out" && v.Args.Mark != "in" {
		return eris.Wrapf(ErrUsage, "mark %q; allowed are out and in", v.Args.Mark)
	}
	signer, status, err := v.signerAndStatus()
	if err != nil {
		return err
	}
	isOut := v.Args.Mark == "out"
	return v.submit(v.out, signer.Mark(v.Args.Domain, isOut, v.Reason, status.Config.Stamp, v.sequence(status)))
}
