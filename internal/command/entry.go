package command

import (
	"fmt"
	"io"
	"strings"

	"mustarddoor/internal/connection/caller"
)

// entryCommand asks a host which hosts a caller should use.
type entryCommand struct {
	outputOptions
	Address string `long:"address" value-name:"IP:PORT" required:"yes" description:"caller address of any host"`
	out     io.Writer
}

func newEntry(out io.Writer) subcommand {
	return subcommand{"entry", "Ask which hosts to use",
		"Asks a host which addresses to use, how long to keep the answer, and for a session.",
		&entryCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	var entry caller.Entry
	if err := (adminOptions{Admin: c.Address}).get(caller.PathEntry, nil, &entry); err != nil {
		return err
	}
	return c.print(c.out, entry, func() *table {
		t := &table{header: []string{"ADDRESSES", "KEEP", "SESSION"}}
		t.add(strings.Join(entry.Addresses, ","), fmt.Sprintf("%d ms", entry.KeepMillis), entry.Session)
		return t
	})
}
