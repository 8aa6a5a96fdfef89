//go:build review

// Command drive plays the cases of the review that are scripts: it starts the project's
// program as separate processes, with stand-ins for the platform, the workers and the
// callers.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// hostname is the host of all routes.
const hostname = "ficu95.example"

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// say adds a line to the record and prints it.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// cases are the cases by name. With trouble, the disruption is played.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"storms": playStorms,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(exitCannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		code = exitCannotRun
	}
	os.Exit(code)
}
