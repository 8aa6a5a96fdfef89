package command

import (
	"io"

	"mustarddoor/internal/version/config"
)

// versionCommand is the common part of the subcommands that sign a record about
// a published version.
type versionCommand struct {
	operatorOptions
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the bundle"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// signingTarget is a published version and the signer and sequence number for a
// record about it.
type signingTarget struct {
	signer   *config.Signer
	version  uint64
	digest   string
	sequence uint64
}

func (c *versionCommand) target() (signingTarget, error) {
	signer, status, err := c.signerAndStatus()
	if err != nil {
		return signingTarget{}, err
	}
	version, err := findVersion(status, c.Args.Name)
	if err != nil {
		return signingTarget{}, err
	}
	return signingTarget{
		signer:   signer,
		version:  version.Version,
		digest:   version.Digest,
		sequence: c.sequence(status),
	}, nil
}
