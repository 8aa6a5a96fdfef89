package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// timeLayout formats times with microseconds, the resolution of stamps.
const timeLayout = "15:04:05.000000"

const columnPadding = 2

// WriteJSON writes the timeline as one JSON value.
func (m Merged) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(m)
}

// ReadJSON is the inverse of Merged.WriteJSON.
func ReadJSON(r io.Reader) (Merged, error) {
	var merged Merged
	if err := json.NewDecoder(r).Decode(&merged); err != nil {
		return Merged{}, eris.Wrap(err, "decoding a timeline")
	}
	return merged, nil
}

// WriteTable writes the timeline as text, one event per line. Gaps are shown
// where events may be missing.
func (m Merged) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "TIME\tHOST\tEVENT\tREQUEST\tFIELDS")
	gaps := m.Gaps
	for _, event := range m.Events {
		for len(gaps) > 0 && gaps[0].Before <= event.Stamp {
			fmt.Fprintln(table, gaps[0].row())
			gaps = gaps[1:]
		}
		fmt.Fprintln(table, event.row())
	}
	for _, gap := range gaps {
		fmt.Fprintln(table, gap.row())
	}
	return eris.Wrap(table.Flush(), "writing a timeline")
}

func (g Gap) row() string {
	text := fmt.Sprintf("%d older events dropped", g.Dropped)
	if g.Failure != "" {
		text = "not read: " + g.Failure
	}
	return fmt.Sprintf("-\t%s\tgap\t-\t%s", g.Host, text)
}

func (e Event) row() string {
	at := e.Stamp.Time().UTC().Format(timeLayout)
	request := e.Request
	if request == "" {
		request = "-"
	}
	return strings.Join([]string{at, e.Host.String(), string(e.Kind), request, e.fields()}, "\t")
}

// fields formats the fields that are set as name=value pairs.
func (e Event) fields() string {
	var pairs []string
	add := func(name, value string) {
		if value != "" {
			pairs = append(pairs, name+"="+value)
		}
	}
	add("service", e.Service)
	add("tier", e.Tier)
	add("team", e.Team)
	add("endpoint", e.Endpoint)
	add("domain", e.Domain)
	add("version", e.Version)
	if !e.Peer.IsZero() {
		add("peer", e.Peer.String())
	}
	add("outcome", e.Outcome)
	if e.Value != 0 {
		add("value", strconv.FormatInt(e.Value, 10))
	}
	if e.Since != 0 {
		add("since", e.Since.Time().UTC().Format(timeLayout))
	}
	if e.Detail != "" {
		add("detail", strconv.Quote(e.Detail))
	}
	return strings.Join(pairs, " ")
}
