package soak

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// changePause is the time between two versions of a run with many changes.
	changePause = 40 * time.Millisecond
	// retainedChanges is the number of versions after which the store drops the old ones.
	retainedChanges = 600
	// behindChanges is the number of versions that one host misses, suspended.
	behindChanges = 500
	// sampledEvery is the number of versions between two samples of the hosts' memory.
	sampledEvery = 20
	// maxGrowthNoise is how many standard deviations of the samples the memory may rise.
	maxGrowthNoise = 2
)

// memorySample is the resident memory of a host after a number of changes.
type memorySample struct{ changes, bytes float64 }

// publishChanges publishes versions of the configuration one after another, while one host is
// suspended for some of them. It returns a violation for each host whose memory grows over
// the last two thirds.
func (f *fleet) publishChanges(ctx context.Context, count int) ([]Violation, error) {
	samples := make([][]memorySample, len(f.hosts))
	behind := f.hosts[len(f.hosts)-1]
	var resume func()
	for change := range count {
		if ctx.Err() != nil {
			break
		}
		switch change {
		case count / 6:
			end := f.record.BeginDisruption(Scope{ScopeHost, behind.number}, false)
			f.sendSignal(behind, syscall.SIGSTOP)
			resume = func() {
				f.sendSignal(behind, syscall.SIGCONT)
				end()
			}
		case count/6 + behindChanges:
			resume()
		}
		f.publishAgain()
		if change%retainedChanges == retainedChanges-1 {
			f.store.TrimOperator()
		}
		time.Sleep(changePause)
		if change < count/3 || change%sampledEvery > 0 {
			continue
		}
		for n, h := range f.hosts {
			bytes, err := residentBytes(h.pid())
			if err != nil {
				return nil, err
			}
			samples[n] = append(samples[n], memorySample{float64(change), float64(bytes)})
		}
	}
	var violations []Violation
	for n := range f.hosts {
		if detail := growth(samples[n]); detail != "" {
			violations = append(violations, Violation{"memory", fmt.Sprintf("host %d: %s", n, detail), time.Now()})
		}
	}
	return violations, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "memory of a host")
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.Atoi(fields[1])
	return pages * os.Getpagesize(), eris.Wrap(err, "memory of a host")
}

// growth describes a rise of the memory that exceeds the noise of the samples, if there is
// one.
func growth(samples []memorySample) string {
	n := float64(len(samples))
	if n < 3 {
		return ""
	}
	var meanChanges, meanBytes, covariance, variance, residuals float64
	for _, s := range samples {
		meanChanges, meanBytes = meanChanges+s.changes/n, meanBytes+s.bytes/n
	}
	for _, s := range samples {
		covariance += (s.changes - meanChanges) * (s.bytes - meanBytes)
		variance += (s.changes - meanChanges) * (s.changes - meanChanges)
	}
	slope := covariance / variance
	for _, s := range samples {
		residual := s.bytes - meanBytes - slope*(s.changes-meanChanges)
		residuals += residual * residual / (n - 2)
	}
	rise := slope * (samples[len(samples)-1].changes - samples[0].changes)
	noise := math.Sqrt(residuals)
	text := fmt.Sprintf("%.1f MB resident on average, %+.1f MB over the samples, noise %.1f MB", meanBytes/1e6, rise/1e6, noise/1e6)
	fmt.Println(text)
	if rise <= maxGrowthNoise*noise {
		return ""
	}
	return text
}
