// Package standin implements the standin command, which simulates the
// components around a fleet in tests: the log service, the host list, the
// weight store, model engines and plain services. Each simulator runs as a
// process of its own and has fault switches.
//
// Each simulator is a subpackage with a constructor, an http.Handler, and
// Options that are also its command-line flags, so that a test can also run it
// in the process of the test. The daemon does not import them. The contract
// tests of all simulators are in this package.
package standin

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Main runs the command that args name and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser, err := newParser(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	_, err = parser.ParseArgs(args)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		return 0
	}
	if err != nil {
		return 1
	}
	return 0
}
