package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
)

// history returns the observations, with the carriers of interrupted requests.
func (f *fleet) history() History {
	history := f.record.History()
	history.DutyViolations = f.duties.Violations()
	history.Carriers = map[string]int{}
	for _, request := range history.Requests {
		if !history.isInterrupted(request) || !history.isUndisrupted(Scope{ScopeHost, request.Host}, request.Sent, request.Ended, unplanned) {
			continue
		}
		name := carrierInLog(f.hosts[request.Host].logPath(), request.ID)
		for _, h := range f.hosts {
			if name == "edge-"+h.ip {
				history.Carriers[request.ID] = h.number
			}
		}
	}
	return history
}

// carrierInLog returns the name of the host that carried a request according to a host's
// log, or "". Endpoints do not see which host a connection comes from.
func carrierInLog(path, id string) string {
	log, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer log.Close()
	name := ""
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if !strings.Contains(lines.Text(), id) {
			continue
		}
		entry := struct{ Request, Carrier string }{}
		if json.Unmarshal(lines.Bytes(), &entry) == nil && entry.Request == id && entry.Carrier != "" {
			name = entry.Carrier
		}
	}
	return name
}
