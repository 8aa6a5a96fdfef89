package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// outputOptions select the output format of a subcommand.
type outputOptions struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the result"`
}

// table is a result in rows and columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the result as JSON or as a table.
func (o outputOptions) print(out io.Writer, result any, asTable func() *table) error {
	if o.Output == "json" {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	t := asTable()
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}
