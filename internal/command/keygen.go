package command

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/version/config"
)

// File modes of the key files.
const (
	privateKeyMode = 0o600
	publicKeyMode  = 0o644
)

// keygenCommand generates an operator's key pair.
type keygenCommand struct {
	KeyFile    string `long:"key-file" value-name:"FILE" required:"yes" description:"where to write the private key"`
	PublicFile string `long:"public-file" value-name:"FILE" required:"yes" description:"where to write the public key for the hosts' settings"`
	out        io.Writer
}

func newKeygen(out io.Writer) subcommand {
	return subcommand{"keygen", "Generate an operator's key pair",
		"Generates an Ed25519 key pair. The public key goes into every host's settings under the operator's name.",
		&keygenCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *keygenCommand) Execute([]string) error {
	pair, err := config.GenerateKey()
	if err != nil {
		return eris.Wrap(ErrFailed, err.Error())
	}
	if err := os.WriteFile(c.KeyFile, []byte(pair.Private+"\n"), privateKeyMode); err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	if err := os.WriteFile(c.PublicFile, []byte(pair.Public+"\n"), publicKeyMode); err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	fmt.Fprintln(c.out, "public key:", pair.Public)
	return nil
}
