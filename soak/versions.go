package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Version is a version of the configuration that the store has acknowledged.
type Version struct {
	Number         int
	AcknowledgedAt time.Time
}

// VersionInForce is a version that a host has put in force.
type VersionInForce struct {
	Number int
	At     time.Time
	// Source is the way by which the host received it.
	Source string
	// Process counts the host's starts.
	Process int
}

// AddVersion records that the store has acknowledged a version.
func (r *Recorder) AddVersion(number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, Version{Number: number, AcknowledgedAt: time.Now()})
}

// versionsInForce returns the versions that the hosts have put in force, by host.
func (f *fleet) versionsInForce() (map[int][]VersionInForce, error) {
	inForce := map[int][]VersionInForce{}
	for _, h := range f.hosts {
		versions, err := versionsInLog(h.logPath())
		if err != nil {
			return nil, err
		}
		inForce[h.number] = versions
	}
	return inForce, nil
}

// versionsInLog returns the versions that a host has put in force according to its log.
func versionsInLog(path string) ([]VersionInForce, error) {
	log, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "log of a host")
	}
	defer log.Close()
	var versions []VersionInForce
	starts := 0
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if !strings.Contains(lines.Text(), `"msg":"configuration in force"`) && !strings.Contains(lines.Text(), `"msg":"start"`) {
			continue
		}
		entry := struct {
			Message string    `json:"msg"`
			Time    time.Time `json:"time"`
			Version int       `json:"config_version"`
			Source  string    `json:"source"`
		}{}
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			continue // cut off by a kill
		}
		if entry.Message == "start" {
			starts++
			continue
		}
		versions = append(versions, VersionInForce{Number: entry.Version, At: entry.Time, Source: entry.Source, Process: starts})
	}
	return versions, nil
}

// checkVersions finds versions that a host put in force late or not at all, whether or not
// that changed an answer, and hosts that went back to an older version.
func checkVersions(history History) []Violation {
	var violations []Violation
	for host, inForce := range history.InForce {
		for i := 1; i < len(inForce); i++ {
			if earlier, later := inForce[i-1], inForce[i]; later.Process == earlier.Process && later.Number < earlier.Number {
				violations = append(violations, Violation{"config", fmt.Sprintf("host %d: version %d came after %d", host, later.Number, earlier.Number), later.At})
			}
		}
		for _, version := range history.Versions {
			due := version.AcknowledgedAt.Add(maxConfigDelay)
			if due.After(history.Now) || !history.reachesStore(host, version.AcknowledgedAt, due) {
				continue
			}
			detail := fmt.Sprintf("host %d: version %d not in force", host, version.Number)
			isInTime := false
			for _, v := range inForce {
				if v.Number < version.Number {
					continue
				}
				isInTime = !v.At.After(due)
				detail = fmt.Sprintf("host %d: version %d in force %v after the acknowledgement of %d, by %s", host, v.Number, v.At.Sub(version.AcknowledgedAt), version.Number, v.Source)
				break
			}
			if !isInTime {
				violations = append(violations, Violation{"config", detail, due})
			}
		}
	}
	return violations
}
