package command

import (
	"io"

	"mustarddoor/internal/version/config"
)

// publishCommand publishes a bundle.
type publishCommand struct {
	operatorOptions
	Base    uint64 `long:"base" description:"version that the bundle was written from; the newest if not given"`
	Restart bool   `long:"restart" description:"take effect although the log has lost records that no host has read"`
	Args    struct {
		File string `positional-arg-name:"BUNDLE" description:"bundle file, JSON"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

func newPublish(out io.Writer) subcommand {
	return subcommand{"publish", "Publish a bundle",
		"Checks a bundle, signs it and appends it to the log. Of two operators who publish from the same base, " +
			"the first one in the log wins and the other one is refused (exit 1). Set --base to name the base explicitly.",
		&publishCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	loaded, err := readBundle(c.Args.File)
	if err != nil {
		return err
	}
	signer, status, err := c.signerAndStatus()
	if err != nil {
		return err
	}
	base := c.Base
	if base == 0 && status.Config.Head != nil {
		base = status.Config.Head.Version
	}
	draft := config.Draft{Base: base, Bundle: loaded}
	if c.Restart {
		draft.RestartAt = status.Config.Log.Next
	}
	return c.submit(c.out, signer.Publish(draft, c.sequence(status)))
}
