package command

import (
	"fmt"
	"io"

	"mustarddoor/internal/connection/mesh"
	"mustarddoor/internal/process/daemon"
)

// gateCommand cuts and restores mesh links in tests.
type gateCommand struct {
	adminOptions
	Peer      string         `long:"peer" value-name:"IP:PORT" required:"yes" description:"mesh address of the peer"`
	Direction mesh.Direction `long:"direction" choice:"to" choice:"from" required:"yes" description:"direction of the frames, seen from this host"`
	Mend      bool           `long:"mend" description:"let frames pass again"`
	out       io.Writer
}

func newGate(out io.Writer) subcommand {
	return subcommand{"gate", "Cut a mesh link for a test",
		"Drops the frames between a host and a peer in one direction. Only hosts with test_gate in their settings allow it.",
		&gateCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *gateCommand) Execute([]string) error {
	order := mesh.CutOrder{Cut: mesh.Cut{Peer: c.Peer, Direction: c.Direction}, Broken: !c.Mend}
	if err := c.post(daemon.PathGate, order, nil); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "done")
	return nil
}
