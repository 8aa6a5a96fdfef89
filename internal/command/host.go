package command

import (
	"fmt"
	"io"
	"strings"

	"mustarddoor/internal/process/dispatch"
	"mustarddoor/internal/process/gateway"
)

// hostCommand shows the state of a host of mustarddoor-platform.
type hostCommand struct {
	adminOptions
	outputOptions
	out io.Writer
}

func newHost(out io.Writer) subcommand {
	return subcommand{"host", "Show the state of a host of mustarddoor-platform",
		"Shows the configuration, the platform's log, the other hosts and each endpoint as a host of " +
			"mustarddoor-platform sees them. The admin address is that of its metrics.",
		&hostCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *hostCommand) Execute([]string) error {
	state := gateway.HostState{}
	if err := c.get(gateway.PathHost, nil, &state); err != nil {
		return err
	}
	return c.print(c.out, state, func() *table { return hostTable(state) })
}

func hostTable(state gateway.HostState) *table {
	t := &table{header: []string{"WHAT", "NAME", "STATE", "DETAIL"}}
	t.add("host", state.Host, hostReadiness(state), "domain "+state.Domain)
	t.add("configuration", fmt.Sprint(state.ConfigVersion), "", fmt.Sprintf("log read up to %d in era %d, %d kept records", state.OperatorNext, state.StoreEra, state.KeptRecords))
	logState := "answers"
	if state.LogUnavailable {
		logState = "lost"
	}
	reader := state.Reader
	if reader == "" {
		reader = "itself"
	}
	t.add("log", "", logState, "read by "+reader)
	heard := fmt.Sprintf("%d heard", state.Reachable)
	if state.Relay != "" {
		heard += " through " + state.Relay
	}
	if state.Forgotten > 0 {
		heard += fmt.Sprintf(", %d forgotten", state.Forgotten)
	}
	t.add("hosts", fmt.Sprint(state.Hosts), "", heard)
	carries := "carries callers"
	if !state.Carries {
		carries = "carries no callers"
	}
	t.add("callers", fmt.Sprint(len(state.EntryAddresses)), carries, fmt.Sprintf("sent to %s; need %.2f cores, %.1f Mbit/s, %.0f connections",
		strings.Join(state.EntryAddresses, " "), state.Demand.Cores, state.Demand.LinkMbps, state.Demand.Connections))
	if state.Duties != nil {
		t.add("duties", state.Duties.Holder, dutiesState(state), dutiesDetail(state.Duties))
	}
	for _, service := range state.LostServices {
		t.add("service", service, "out of reach", "other hosts carry the requests to it")
	}
	for _, part := range state.QuarantinedParts {
		t.add("prompt part", part.String(), "quarantined", "endpoints ended as they responded to it")
	}
	for _, order := range state.EndpointOrders {
		t.add("order", order.Service+" in "+order.Domain, orderState(order), orderDetail(order))
	}
	for _, e := range state.Endpoints {
		detail := fmt.Sprintf("%s %s in %s, %d of %d slots in use (%d local), %d pending tokens, step %d us, %.0f%% failed",
			e.Service, e.Version, e.Domain, e.Busy, e.Slots, e.OwnBusy, e.PendingTokens, e.InterTokenMicros, e.FailureRate*100)
		if e.RateLimit != nil {
			detail += fmt.Sprintf(", limit %.1f a second", *e.RateLimit)
		}
		t.add("endpoint", e.Endpoint, endpointState(e), detail)
	}
	return t
}

func orderState(order gateway.EndpointOrderState) string {
	if order.Waiting {
		return "no response yet"
	}
	return "accepted"
}

func orderDetail(order gateway.EndpointOrderState) string {
	pattern := order.Pattern
	if pattern == "" {
		pattern = "read back"
	}
	return fmt.Sprintf("%d endpoints (%s), %d s ago", order.Count, pattern, order.AgeMillis/1000)
}

func hostReadiness(state gateway.HostState) string {
	switch {
	case state.Stopping:
		return "stopping"
	case state.Ready:
		return "ready"
	}
	return "not ready"
}

func endpointState(e dispatch.EndpointState) string {
	switch {
	case !e.Usable:
		return "leaving"
	case e.OutOfReach:
		return "out of reach"
	case e.Blocked && e.Cold:
		return "cold, blocked"
	case e.Blocked:
		return "blocked"
	case e.Cold:
		return "cold"
	}
	return "in use"
}

func dutiesState(state gateway.HostState) string {
	switch {
	case state.Duties.Holder == "":
		return "holder unknown here"
	case state.Duties.Holder == state.Host && state.Duties.HeldMillis > 0:
		return fmt.Sprintf("held for %d s", state.Duties.HeldMillis/1000)
	}
	return "held by another host"
}

func dutiesDetail(duties *gateway.DutiesState) string {
	detail := fmt.Sprintf("fencing token %d, ", duties.Token)
	if duties.ReportedMillis < 0 {
		return detail + "no usage reported by this host"
	}
	return detail + fmt.Sprintf("window %d reported %d s ago, %d windows missed", duties.ReportedWindow, duties.ReportedMillis/1000, duties.MissedWindows)
}
