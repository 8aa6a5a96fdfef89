package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"
)

// arguments holds the command-line flags.
type arguments struct {
	Programs  []string      `long:"program" default:"bin/mustarddoor-platform" description:"program of a host; given more than once, each start of a host takes the next one"`
	First     uint64        `long:"first" default:"1" description:"first seed"`
	Fresh     bool          `long:"fresh" description:"begin with a seed drawn now"`
	Seeds     uint64        `long:"seeds" default:"1" description:"how many seeds"`
	Jobs      int           `long:"jobs" default:"2" description:"runs at once"`
	Hosts     int           `long:"hosts" default:"3" description:"hosts of a run"`
	Endpoints int           `long:"endpoints" default:"4" description:"endpoints of a run"`
	Callers   int           `long:"callers" default:"12" description:"callers of a run"`
	Traffic   time.Duration `long:"traffic" default:"20s" description:"how long faults may begin"`
	Faults    int           `long:"faults" default:"16" description:"faults of a run"`
	Routes    int           `long:"routes" default:"0" description:"routes of the configuration that get no requests"`
	Changes   int           `long:"changes" default:"0" description:"versions of the configuration that are published in place of faults, while the hosts' memory is checked"`
	MemoryMB  int           `long:"memory-mb" default:"0" description:"memory of a host in MB; that of the stand-in's settings if 0"`
	Events    int           `long:"events" default:"8" description:"events of a short stream"`
	Interval  time.Duration `long:"interval" default:"15ms" description:"time between the events of a short stream"`
	Long      float64       `long:"long" default:"0.1" description:"ratio of streams that last 2 to 5 s"`
	Slow      float64       `long:"slow" default:"0.05" description:"ratio of streams whose callers read slowly or stop reading for a while"`
	Dir       string        `long:"dir" description:"where logs of runs with a broken promise are kept; the system's temporary directory if empty"`
}

// Exit statuses of the command.
const (
	statusPassed = iota
	statusFailed
	statusUsage
)

// Main runs the command and returns its exit status.
func Main(args []string) int {
	var a arguments
	if _, err := flags.NewParser(&a, flags.Default).ParseArgs(args); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return statusPassed
		}
		return statusUsage
	}
	if a.Fresh {
		a.First = uint64(rand.Uint32())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var failed atomic.Int64
	var runs errgroup.Group
	runs.SetLimit(a.Jobs)
	for n := range a.Seeds {
		runs.Go(func() error {
			if ctx.Err() == nil && !a.runSeed(ctx, a.First+n) {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = runs.Wait() // no run returns an error
	fmt.Printf("%d seeds from %d, %d with a broken promise\n", a.Seeds, a.First, failed.Load())
	if failed.Load() > 0 {
		return statusFailed
	}
	return statusPassed
}

// runSeed runs one seed and reports whether no rule was violated. The logs are
// deleted if so.
func (a arguments) runSeed(ctx context.Context, seed uint64) bool {
	dir, err := os.MkdirTemp(a.Dir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Println(err)
		return false
	}
	var programs []Program
	for _, name := range a.Programs {
		path, err := filepath.Abs(name)
		if err != nil {
			fmt.Println(err)
			return false
		}
		programs = append(programs, Program{Path: path})
	}
	report, err := Run(ctx, Options{
		Seed: seed, Dir: dir, Programs: programs,
		Size: Size{Hosts: a.Hosts, Endpoints: a.Endpoints, Callers: a.Callers, Traffic: a.Traffic, Faults: a.Faults, Routes: a.Routes, Changes: a.Changes, MemoryMB: a.MemoryMB},
		Load: Load{Events: a.Events, Interval: a.Interval, LongRatio: a.Long, SlowRatio: a.Slow},
	})
	if err != nil {
		fmt.Printf("seed %d: %v; logs in %s\n", seed, err, dir)
		return false
	}
	fmt.Println(report)
	if len(report.Violations) > 0 {
		fmt.Println("  logs in", dir)
		return false
	}
	if err := os.RemoveAll(dir); err != nil {
		fmt.Println(err)
	}
	return true
}
