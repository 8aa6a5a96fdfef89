// Package daemon assembles and runs the parts of mustarddoord.
//
// Each part is an actor of an oklog/run group: when one actor returns, all
// others are interrupted.
package daemon

import (
	"errors"
	"fmt"
	"os"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"

	"mustarddoor/internal/process/settings"
	"mustarddoor/internal/process/telemetry"
)

// Exit codes of the daemon.
const (
	// ExitOK is returned after a planned stop, a valid --check and --help.
	ExitOK = 0
	// ExitFailed is returned if an actor of the daemon failed.
	ExitFailed = 1
	// ExitUsage is returned if the command line or the settings are invalid.
	ExitUsage = 2
)

// options are the command-line flags of the daemon.
type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings of this host, JSON"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Main runs the daemon and returns its exit code.
func Main(args []string) int {
	var opts options
	parser := flags.NewNamedParser("mustarddoord", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "mustarddoord is the daemon that runs on every host of a fleet. " +
		"SIGTERM and SIGINT start a planned stop: the host refuses new requests, finishes those that run, and exits with 0."
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err)
	}
	loaded, err := settings.Load(opts.Settings)
	if err != nil {
		return usage(err)
	}
	if opts.Check {
		return ExitOK
	}
	return serve(loaded)
}

func usage(err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "mustarddoord:", err)
	return ExitUsage
}

// serve runs the daemon until a planned stop or a failure.
func serve(loaded *settings.Settings) int {
	logger, err := telemetry.NewLogger(os.Stderr, loaded.Log.Format, loaded.Log.Level)
	if err != nil {
		return usage(err)
	}
	host, err := newHost(loaded, logger)
	if err != nil {
		return usage(err)
	}
	var group run.Group
	host.addActors(&group)
	addSignalActor(&group, host.stop, syscall.SIGTERM, syscall.SIGINT)
	err = group.Run()
	if err != nil && !errors.Is(err, errPlannedStop) {
		logger.WithError(err).Error("daemon failed")
		return ExitFailed
	}
	logger.Info("stopped")
	return ExitOK
}
