package command

import (
	"fmt"
	"io"
	"strings"

	"mustarddoor/internal/connection/caller"
)

// entryVerb asks a host which hosts a caller should use.
type entryVerb struct {
	outputOptions
	Address string `long:"address" value-name:"IP:PORT" required:"yes" description:"caller address of any host"`
	out     io.Writer
}

func newEntry(out io.Writer) verb {
	return verb{"entry", "Ask which hosts to use",
		"Asks a host which addresses to use, how long to keep the answer, and for a session.",
		&entryVerb{out: out}}
}

// Execute implements flags.Commander.
func (v *entryVerb) Execute([]string) error {
	var entry caller.Entry
	if err := (adminOptions{Admin: v.Address}).get(caller.PathEntry, nil, &entry); err != nil {
		return err
	}
	return v.print(v.out, entry, func() *table {
		t := &table{header: []string{"ADDRESSES", "KEEP", "SESSION"}}
		t.add(strings.Join(entry.Addresses, ","), fmt.Sprintf("%d ms", entry.TTLMillis), entry.Session)
		return t
	})
}
