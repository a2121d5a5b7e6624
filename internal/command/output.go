package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// show prints the value as JSON, or as the table that the rows give.
func (e *environment) show(value any, header string, rows [][]string) error {
	if e.asJSON {
		return e.showJSON(value)
	}
	w := tabwriter.NewWriter(e.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (e *environment) showJSON(value any) error {
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// say prints a line for people; it is left out of JSON output.
func (e *environment) say(format string, args ...any) {
	if !e.asJSON {
		_, _ = fmt.Fprintf(e.out, format+"\n", args...)
	}
}

func timeText(unixMs int64) string {
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
