//go:build review

package harness

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Case plays a case and reports whether the rule held. It has no disruption unless trouble is
// set.
type Case func(f *Fleet, trouble bool) (held bool, err error)

// limit is how long a case may run.
const limit = 115 * time.Second

// Main plays a case whose folder is the first argument, and ends the process with 0 if the rule
// held, 1 if it was broken and 2 if the case could not run.
func Main(play Case) {
	if len(os.Args) < 2 {
		fmt.Println("usage: PROGRAM FOLDER [VARIANT]")
		os.Exit(2)
	}
	os.Exit(run(play, filepath.Join(os.Args[1], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

func run(play Case, path string, trouble bool) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	f, err := New(record)
	if err != nil {
		record.Say("%v", err)
		return 2
	}
	defer f.Close()
	type result struct {
		held bool
		err  error
	}
	results := make(chan result, 1)
	go func() {
		held, err := play(f, trouble)
		results <- result{held, err}
	}()
	select {
	case r := <-results:
		switch {
		case errors.Is(r.err, ErrCannotRun) || r.err != nil:
			record.Say("%v", r.err)
			return 2
		case !r.held:
			return 1
		}
		return 0
	case <-time.After(limit):
		record.Say("the case took too long")
		return 2
	}
}

// Variant returns the second argument, or the empty string.
func Variant() string {
	if len(os.Args) < 3 {
		return ""
	}
	return os.Args[2]
}
