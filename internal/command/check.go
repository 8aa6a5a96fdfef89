package command

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/version/bundle"
)

// checkCommand checks a bundle without a fleet.
type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"BUNDLE" description:"bundle file, JSON"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

func newCheck(out io.Writer) subcommand {
	return subcommand{"check", "Check a bundle file",
		"Checks a bundle against the schema and the rules across its fields, without a fleet. " +
			"Each fault names the file, the path in it, the value and what is allowed.",
		&checkCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	loaded, err := readBundle(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "bundle %s is valid\n", loaded.Name)
	return nil
}

// readBundle reads and checks a bundle file. It fails with ErrUsage.
func readBundle(file string) (*bundle.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	loaded, err := bundle.Parse(file, data)
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	return loaded, nil
}
