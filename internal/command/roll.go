package command

import "io"

// rollVerb puts an approved bundle in force.
type rollVerb struct {
	versionVerb
}

func newRoll(out io.Writer) verb {
	return verb{"roll", "Put an approved bundle in force",
		"Signs the order to put the newest published bundle, once approved, in force on all hosts.",
		&rollVerb{versionVerb{out: out}}}
}

// Execute implements flags.Commander.
func (v *rollVerb) Execute([]string) error {
	target, err := v.target()
	if err != nil {
		return err
	}
	return v.submit(v.out, target.signer.Roll(target.version, target.digest, target.sequence))
}
