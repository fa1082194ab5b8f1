package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hawthornlock/hawthornlock/internal/config"
)

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, headings ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	if len(headings) > 0 {
		t.row(headings...)
	}
	return t
}

func (t *table) row(cells ...string) {
	for i, c := range cells {
		if c == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

// print writes v as JSON, or calls human to write it as text.
func (c *common) print(v any, human func(w io.Writer)) error {
	if c.output != "json" {
		human(c.app.Stdout)
		return nil
	}
	enc := json.NewEncoder(c.app.Stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func labelText(l map[string]string) string { return config.LabelText(l) }

// parseLabels parses key=value pairs separated by commas.
func parseLabels(text string) (map[string]string, error) {
	out := map[string]string{}
	for _, pair := range splitList(text) {
		k, v, ok := strings.Cut(pair, "=")
		if !ok || k == "" {
			return nil, usagef("label %q is not key=value", pair)
		}
		if _, twice := out[k]; twice {
			return nil, usagef("label %q is given twice", k)
		}
		out[k] = v
	}
	return out, nil
}
