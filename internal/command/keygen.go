package command

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/version/config"
)

// Modes of the key files.
const (
	privateMode = 0o600
	publicMode  = 0o644
)

// keygenVerb makes an operator's key pair.
type keygenVerb struct {
	KeyFile    string `long:"key-file" value-name:"FILE" required:"yes" description:"where to write the private key"`
	PublicFile string `long:"public-file" value-name:"FILE" required:"yes" description:"where to write the public key for the hosts' settings"`
	out        io.Writer
}

func newKeygen(out io.Writer) verb {
	return verb{"keygen", "Make an operator's key pair",
		"Makes an ed25519 key pair. The public key goes into every host's settings under the operator's name.",
		&keygenVerb{out: out}}
}

// Execute implements flags.Commander.
func (v *keygenVerb) Execute([]string) error {
	pair, err := config.GenerateKey()
	if err != nil {
		return eris.Wrap(ErrFailed, err.Error())
	}
	if err := os.WriteFile(v.KeyFile, []byte(pair.Private+"\n"), privateMode); err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	if err := os.WriteFile(v.PublicFile, []byte(pair.Public+"\n"), publicMode); err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	fmt.Fprintln(v.out, "public key:", pair.Public)
	return nil
}
