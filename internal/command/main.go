// Package command implements the command-line tool. Each subcommand has its own
// file.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

// Exit codes of the tool.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitRefused means that the command was refused and had no effect.
	ExitRefused = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
	// ExitUnreachable means that no host responded.
	ExitUnreachable = 3
	// ExitUnknown means that it is unknown whether the command had an effect.
	ExitUnknown = 4
	// ExitFailed means that the command was started and failed.
	ExitFailed = 5
)

// Errors that determine the exit code.
var (
	ErrRefused     = eris.New("refused")
	ErrUsage       = eris.New("wrong use")
	ErrUnreachable = eris.New("no host answered")
	ErrUnknown     = eris.New("outcome unknown")
	ErrFailed      = eris.New("failed")
)

const overview = `mustarddoor operates a fleet of mustarddoord hosts.

Operators: check a bundle, publish it, have another operator approve it, roll
it out; exclude and include failure domains; watch status, timeline and
metrics.
Callers: look up the hosts to use and send a request.

A first session, with two operators and any host's admin address:
  mustarddoor keygen  --key-file alma.key --public-file alma.pub
  mustarddoor check   bundle.json
  mustarddoor publish --admin 127.0.0.1:7002 --as alma  --key-file alma.key bundle.json
  mustarddoor approve --admin 127.0.0.1:7002 --as berta --key-file berta.key first
  mustarddoor roll    --admin 127.0.0.1:7002 --as alma  --key-file alma.key first
  mustarddoor status  --admin 127.0.0.1:7002

Exit codes: 0 done, 1 refused (nothing happened), 2 wrong use or file,
3 no host answered, 4 outcome unknown, 5 started and failed.`

// subcommand describes a subcommand of the tool.
type subcommand struct {
	name        string
	summary     string
	description string
	options     flags.Commander
}

// Main runs the tool and returns its exit code.
func Main(args []string) int {
	return Run(args, os.Stdout, os.Stderr)
}

// Run is like Main but writes to the given outputs.
func Run(args []string, out, errOut io.Writer) int {
	parser := flags.NewNamedParser("mustarddoor", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = overview
	for _, c := range subcommands(out) {
		if _, err := parser.AddCommand(c.name, c.summary, c.description, c.options); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, out, errOut)
}

// subcommands returns all subcommands of the tool.
func subcommands(out io.Writer) []subcommand {
	return []subcommand{
		newCheck(out),
		newKeygen(out),
		newPublish(out),
		newApprove(out),
		newRoll(out),
		newDomain(out),
		newStatus(out),
		newTimeline(out),
		newMetrics(out),
		newHost(out),
		newEntry(out),
		newRequest(out),
		newGate(out),
	}
}

// exitCode prints the error or help text and returns the exit code.
func exitCode(err error, out, errOut io.Writer) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(out, usage.Message)
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(errOut, "mustarddoor:", err)
	switch {
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	case errors.Is(err, ErrUnknown):
		return ExitUnknown
	case errors.Is(err, ErrFailed):
		return ExitFailed
	default:
		return ExitUsage
	}
}
