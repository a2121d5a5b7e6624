package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// printValue prints the value as JSON, or else the rows as a table with the header.
// The column names in the header are separated by spaces.
func (e *environment) printValue(value any, header string, rows [][]string) error {
	if e.asJSON {
		return e.printJSON(value)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (e *environment) printJSON(value any) error {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printLine prints a formatted line, or nothing if the output is JSON.
func (e *environment) printLine(format string, args ...any) {
	if !e.asJSON {
		_, _ = fmt.Fprintf(e.out, format+"\n", args...)
	}
}

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
