package command

import "io"

// approveVerb approves a published bundle.
type approveVerb struct {
	versionVerb
}

func newApprove(out io.Writer) verb {
	return verb{"approve", "Approve a published bundle",
		"Signs the approval of the newest published bundle. The approver must not be its publisher.",
		&approveVerb{versionVerb{out: out}}}
}

// Execute implements flags.Commander.
func (v *approveVerb) Execute([]string) error {
	target, err := v.target()
	if err != nil {
		return err
	}
	return v.submit(v.out, target.signer.Approve(target.version, target.digest, target.sequence))
}
