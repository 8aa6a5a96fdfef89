// Package standin is the command line of the stand-ins: the parts around a
// fleet in tests, each as one process with fault switches. They are the log
// service, the host list, the weight store, model engines and plain services.
//
// Each stand-in is a subpackage with Options, which are also its command-line
// flags, a constructor and an http.Handler, so that a test can also run it in
// its own process. The daemon never imports them. The contract tests of all
// stand-ins are in this package.
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

// Main runs the command line and returns its exit code.
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
