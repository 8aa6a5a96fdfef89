package command

import (
	"fmt"
	"io"
	"net/url"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/timeline"
	"mustarddoor/internal/process/timeline/check"
)

// timelineVerb prints the merged time line of all hosts.
type timelineVerb struct {
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

func newTimeline(out io.Writer) verb {
	return verb{"timeline", "Print the merged time line of all hosts",
		"Collects the events of all hosts and prints them in causal order. Gaps are shown: events that a host " +
			"no longer holds, and hosts that did not answer.",
		&timelineVerb{out: out}}
}

// Execute implements flags.Commander.
func (v *timelineVerb) Execute([]string) error {
	var merged timeline.Merged
	if err := v.get(timeline.Path, v.query(), &merged); err != nil {
		return err
	}
	if err := v.write(merged); err != nil {
		return err
	}
	if !v.Check {
		return nil
	}
	report := check.Run(merged, check.DefaultDelays())
	fmt.Fprint(v.out, report)
	if len(report.Violations) > 0 {
		return eris.Wrap(ErrFailed, "the time line breaks a guarantee")
	}
	return nil
}

func (v *timelineVerb) query() url.Values {
	filter := timeline.Filter{
		Request:  v.Request,
		Endpoint: v.Endpoint,
		Domain:   v.Domain,
		Version:  v.Version,
		Host:     v.Host,
	}
	query := filter.Values()
	if v.Since != "" {
		query.Set("since", v.Since)
	}
	return query
}

func (v *timelineVerb) write(merged timeline.Merged) error {
	if v.Output == "json" {
		return merged.WriteJSON(v.out)
	}
	return merged.WriteTable(v.out)
}
