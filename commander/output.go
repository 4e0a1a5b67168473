package commander

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

func (a *app) checkOutput() error {
	if a.output != outputTable && a.output != outputJSON {
		return merry.Errorf("%w: --output: want table or json, not %q", ErrUsage, a.output)
	}
	return nil
}

// print writes the message as JSON or the rows as a table, as the output format requires.
func (a *app) print(m proto.Message, header string, rows [][]any) error {
	if a.output == outputJSON {
		return a.printValue(m)
	}
	return a.printTable(header, rows)
}

func (a *app) printTable(header string, rows [][]any) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		cells := make([]string, len(r))
		for i, c := range r {
			cells[i] = fmt.Sprint(c)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// printValue writes a message or another value as JSON.
func (a *app) printValue(v any) error {
	b, err := asJSON(v)
	if err != nil {
		return err
	}
	// The whitespace in the output of protojson differs between builds.
	var text any
	if err := json.Unmarshal(b, &text); err != nil {
		return err
	}
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(text)
}

func asJSON(v any) (json.RawMessage, error) {
	if m, ok := v.(proto.Message); ok {
		return protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	}
	return json.Marshal(v)
}

// parseLabels parses flags of the form key=value.
func parseLabels(flags []string) (map[string]string, error) {
	out := map[string]string{}
	for _, l := range flags {
		k, v, ok := strings.Cut(l, "=")
		if !ok || k == "" || v == "" {
			return nil, merry.Errorf("%w: --label: %q: want key=value", ErrUsage, l)
		}
		if _, twice := out[k]; twice {
			return nil, merry.Errorf("%w: --label: key %q is given twice", ErrUsage, k)
		}
		out[k] = v
	}
	return out, nil
}

// showLabels formats labels, ordered by their keys.
func showLabels(labels map[string]string) string {
	var out []string
	for k, v := range labels {
		out = append(out, k+"="+v)
	}
	slices.Sort(out)
	return orDash(strings.Join(out, ","))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// showAge formats an age in milliseconds; a negative age is unknown.
func showAge(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// showTime formats a time in milliseconds since the Unix epoch.
func showTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

// normalizeSpaces replaces the non-breaking spaces that protojson puts into some of its errors.
func normalizeSpaces(s string) string { return strings.ReplaceAll(s, "\u00a0", " ") }
