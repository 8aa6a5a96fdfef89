package command

import (
	"fmt"
	"io"
	"net/url"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/process/timeline/check"
)

// timelineCommand prints the merged timeline of all hosts.
type timelineCommand struct {
	adminOptions
	outputOptions
	Request  string `long:"request" value-name:"KEY" description:"only events of this request"`
	Endpoint string `long:"endpoint" description:"only events of this endpoint"`
	Domain   string `long:"domain" description:"only events of this failure domain"`
	Version  string `long:"version" description:"only events of this endpoint version"`
	Host     string `long:"host" description:"only events of or about this host"`
	Since    string `long:"since" value-name:"DURATION" description:"only events younger than this, as 90s or 5m"`
	Check    bool   `long:"check" description:"check the guarantees over the time line; exit 5 if one is broken"`
	out      io.Writer
}

func newTimeline(out io.Writer) subcommand {
	return subcommand{"timeline", "Print the merged timeline of all hosts",
		"Collects the events of all hosts and prints them in causal order. It shows gaps: events that a host " +
			"no longer has, and hosts that did not respond.",
		&timelineCommand{out: out}}
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	var merged timeline.Merged
	if err := c.get(timeline.Path, c.query(), &merged); err != nil {
		return err
	}
	if err := c.write(merged); err != nil {
		return err
	}
	if !c.Check {
		return nil
	}
	report := check.Run(merged, check.DefaultDelays())
	fmt.Fprint(c.out, report)
	if len(report.Violations) > 0 {
		return eris.Wrap(ErrFailed, "the timeline violates a guarantee")
	}
	return nil
}

func (c *timelineCommand) query() url.Values {
	filter := timeline.Filter{
		Request:  c.Request,
		Endpoint: c.Endpoint,
		Domain:   c.Domain,
		Version:  c.Version,
		Host:     c.Host,
	}
	query := filter.Values()
	if c.Since != "" {
		query.Set("since", c.Since)
	}
	return query
}

func (c *timelineCommand) write(merged timeline.Merged) error {
	if c.Output == "json" {
		return merged.WriteJSON(c.out)
	}
	return merged.WriteTable(c.out)
}
