package command

import (
	"io"

	"mustarddoor/internal/version/config"
)

// versionVerb is what the verbs about a published version share.
type versionVerb struct {
	operatorOptions
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the bundle"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// versionTarget is a published version and what is needed to sign about it.
type versionTarget struct {
	signer   *config.Signer
	version  uint64
	digest   string
	sequence uint64
}

func (v *versionVerb) target() (versionTarget, error) {
	signer, status, err := v.signerAndStatus()
	if err != nil {
		return versionTarget{}, err
	}
	version, err := versionOf(status, v.Args.Name)
	if err != nil {
		return versionTarget{}, err
	}
	return versionTarget{
		signer:   signer,
		version:  version.Version,
		digest:   version.Digest,
		sequence: v.sequence(status),
	}, nil
}
