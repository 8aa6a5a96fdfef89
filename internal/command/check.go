package command

import (
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/version/bundle"
)

// checkCommand checks a bundle file locally.
type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"BUNDLE" description:"bundle file, JSON"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

func newCheck(out io.Writer) subcommand {
	return subcommand{"check", "Check a bundle file",
		"Checks a bundle file against the schema and the rules across its fields, without connecting to a host. " +
			"Each error names the file, the path within it, the value and the allowed values.",
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

// readBundle reads and checks a bundle file. It returns ErrUsage if the file is
// invalid.
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
