package command

import (
	"fmt"
	"io"
	"strings"

	"mustarddoor/internal/connection/caller"
)

// entryCommand requests an entry: the hosts that a caller should use.
type entryCommand struct {
	outputOptions
	Address string `long:"address" value-name:"IP:PORT" required:"yes" description:"caller address of any host"`
	out     io.Writer
}

func newEntry(out io.Writer) subcommand {
	return subcommand{"entry", "Look up the hosts to use",
		"Requests from a host the addresses to use, how long to cache them, and a session.",
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
		t.add(strings.Join(entry.Addresses, ","), fmt.Sprintf("%d ms", entry.TTLMillis), entry.Session)
		return t
	})
}
