package command

import (
	"fmt"
	"io"
	"time"

	"mustarddoor/internal/process/daemon"
	"mustarddoor/internal/version/config"
)

// watchInterval is the time between two requests with --watch.
const watchInterval = time.Second

// statusCommand shows the state of the fleet as one host sees it.
type statusCommand struct {
	adminOptions
	outputOptions
	Watch bool `long:"watch" description:"go on until interrupted"`
	out   io.Writer
}

func newStatus(out io.Writer) subcommand {
	return subcommand{"status", "Show the state of the fleet as a host sees it",
		"Shows the configuration that is in force at a host, the excluded failure domains with their reasons, " +
			"the version moves in progress, and the state of the other hosts as this host sees it.",
		&statusCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	for {
		status, err := c.status()
		if err != nil {
			return err
		}
		if err := c.print(c.out, status, func() *table { return statusTable(status) }); err != nil {
			return err
		}
		if !c.Watch {
			return nil
		}
		time.Sleep(watchInterval)
	}
}

func statusTable(status daemon.Status) *table {
	t := &table{header: []string{"WHAT", "NAME", "STATE", "DETAIL"}}
	t.add("host", status.Host.Incarnation.String(), readiness(status), status.Reason)
	t.add(versionRow("in force", status.Config.InForce)...)
	t.add(versionRow("newest", status.Config.Head)...)
	t.add("log", "", logState(status.Config.Log), logDetail(status.Config.Log))
	for _, domain := range status.Config.Domains {
		t.add("domain", domain.Domain, domainState(domain), domain.Operator+": "+domain.Reason)
	}
	for _, move := range status.Config.Moves {
		name := fmt.Sprintf("%s %s to %s", move.ID.Service, move.ID.From, move.ID.To)
		state := fmt.Sprintf("%s, stage %d", move.State.Verdict, move.State.Stage)
		t.add("move", name, state, move.State.Reason)
	}
	for _, home := range status.Homes {
		t.add("home", home.Endpoint, home.Home, homeDetail(home))
	}
	for _, member := range status.Members {
		t.add("member", member.Incarnation.String(), memberState(member), member.Domain)
	}
	for _, refused := range status.Config.Refused {
		t.add("refused", string(refused.Kind), string(refused.Result), string(refused.Reason)+" "+refused.Detail)
	}
	return t
}

func readiness(status daemon.Status) string {
	if status.Ready {
		return "ready"
	}
	return "not ready"
}

func versionRow(label string, version *config.VersionInfo) []string {
	if version == nil {
		return []string{label, "-", "none", ""}
	}
	signers := fmt.Sprintf("published by %s, approved by %s, rolled by %s", version.Publisher, version.Approver, version.Roller)
	return []string{label, version.Name, fmt.Sprintf("version %d", version.Version), signers}
}

func logState(log config.LogStatus) string {
	if log.Available {
		return "available"
	}
	return "out"
}

// logDetail describes a fault of the log.
func logDetail(log config.LogStatus) string {
	switch {
	case log.GapTo != 0:
		return fmt.Sprintf("records %d to %d were trimmed before they were read; publish with --restart if no peer has them", log.GapFrom, log.GapTo)
	case log.Short:
		return "the log ends before the offset already read"
	default:
		return log.Error
	}
}

func homeDetail(home daemon.HomeStatus) string {
	detail := fmt.Sprintf("fence %d", home.Fence)
	if home.Held {
		detail += ", held by this host"
	}
	if home.Unfit {
		detail += ", not fit yet"
	}
	return detail
}

func domainState(domain config.DomainStatus) string {
	if domain.Excluded {
		return "out"
	}
	return "in"
}

func memberState(member daemon.MemberStatus) string {
	if member.Leaving {
		return member.State + ", leaving"
	}
	return member.State
}
