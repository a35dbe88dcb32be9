package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table is a table of docs/CAPACITY.md.
type Table struct {
	Title  string     `json:"title"`
	Header []string   `json:"header"`
	Rows   [][]string `json:"rows"`
}

// Tables returns all tables of docs/CAPACITY.md, in its order.
func (r Results) Tables() ([]Table, error) {
	rows, err := r.Rows()
	if err != nil {
		return nil, err
	}
	b := &rowBuilder{results: r}
	tables := []Table{r.machineTable(), boundTable(rows), b.compareTable(), r.trafficTable(), b.appendTable(), r.partitionTable()}
	for _, role := range Roles() {
		if t := r.slopeTable(role); len(t.Rows) > 0 {
			tables = append(tables, t)
		}
	}
	return tables, b.err
}

func (r Results) machineTable() Table {
	return Table{"Measurement", []string{"date", "cores", "Go"}, [][]string{{r.Date, fmt.Sprint(r.Cores), r.GoVersion}}}
}

func boundTable(rows []Row) Table {
	t := Table{Title: "Roles and bounds at the target size", Header: []string{"role", "bound", "value", "limit", "margin", "basis", "from"}}
	for _, r := range rows {
		value := "-"
		if r.Basis == Measured || r.Basis == Computed {
			value = formatValue(r.Value)
		}
		t.Rows = append(t.Rows, []string{string(r.Role), string(r.Bound), value, formatValue(r.Limit) + " " + r.Unit, r.Margin(), string(r.Basis), r.Derivation})
	}
	return t
}

// compareTable compares the values extrapolated by the slopes with a direct
// measurement at the target size.
func (b *rowBuilder) compareTable() Table {
	t := Table{Title: "Entry router at the target size, by slopes and measured directly", Header: []string{"quantity", "unit", "by slopes", "measured"}}
	for _, q := range quantities() {
		t.Rows = append(t.Rows, []string{q.name, q.unit, formatValue(b.routerAtTarget(q.id)), formatValue(q.value(b.results.Target))})
	}
	return t
}

func (r Results) trafficTable() Table {
	t := Table{Title: "Traffic of one router at the target size", Header: []string{"kind", "messages/s", "JSON B/s", "with framing B/s"}}
	n := r.Target
	for _, k := range []struct {
		name    string
		traffic Traffic
	}{
		{"beats to peers and answers", n.Beats}, {"grant requests", n.Grants}, {"config stream", n.Config}, {"audit stream", n.Audit},
		{"intent streams", n.Intents}, {"other control", n.Other}, {"all control", n.Control()},
		{"answers of holders (at the holders)", n.Replies}, {"probes (ride on requests)", n.Riding},
	} {
		t.Rows = append(t.Rows, []string{k.name, formatValue(k.traffic.Messages), formatValue(k.traffic.Bytes), formatValue(k.traffic.framed())})
	}
	return t
}

func (b *rowBuilder) appendTable() Table {
	t := Table{Title: "Log appends of the fleet at the target size", Header: []string{"stream", "cause", "appends/s", "basis", "from"}}
	for _, a := range b.appendRates() {
		value := formatValue(a.PerSecond)
		if a.Basis == Unknown {
			value = "-"
		}
		t.Rows = append(t.Rows, []string{a.Stream, a.Cause, value, string(a.Basis), a.Derivation})
	}
	t.Rows = append(t.Rows, []string{"all", "sum of the known", formatValue(b.appends()), string(Computed), ""})
	return t
}

func (r Results) partitionTable() Table {
	t := Table{Title: "Two regions parted, the log in the first", Header: []string{"routers", "in the second region", "of these still serving", "after s", "their slots before", "their slots after"}}
	for _, p := range r.Partitions {
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(p.Routers), fmt.Sprint(p.RegionSize), fmt.Sprint(p.Serving), formatValue(p.Seconds), fmt.Sprint(p.SlotsBefore), fmt.Sprint(p.SlotsAfter),
		})
	}
	return t
}

func (r Results) slopeTable(role Role) Table {
	t := Table{Title: "Slopes: " + string(role), Header: []string{"quantity", "unit", "size", "measured", "slope", "at the target, by slope", "used", "mechanism", "command"}}
	for _, s := range r.Series {
		if s.Role != role {
			continue
		}
		var points []string
		for _, p := range s.Points {
			points = append(points, formatValue(p.Size)+": "+formatValue(p.Value))
		}
		t.Rows = append(t.Rows, []string{
			s.Quantity, s.Unit, s.SizeName, strings.Join(points, ", "), formatValue(s.LinearFit().Slope), formatValue(s.Extrapolated()), formatValue(s.AtTarget()), s.Mechanism, "`" + s.Command + "`",
		})
	}
	return t
}

// formatValue formats a number with three significant digits, or as an integer
// from 1000. Values from 0.0001 to a billion have no exponent, except that
// those just below 1000 are rounded to 1e+03.
func formatValue(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// WriteMarkdown writes the tables as docs/CAPACITY.md contains them.
func WriteMarkdown(out io.Writer, tables []Table) error {
	var b strings.Builder
	for i, t := range tables {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "### %s\n\n", t.Title)
		fmt.Fprintf(&b, "| %s |\n", strings.Join(t.Header, " | "))
		b.WriteString("|" + strings.Repeat(" --- |", len(t.Header)) + "\n")
		for _, row := range t.Rows {
			fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
		}
	}
	_, err := io.WriteString(out, b.String())
	return Error.Wrap(err)
}

// WriteText writes the tables for a terminal.
func WriteText(out io.Writer, tables []Table) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, t := range tables {
		fmt.Fprintf(w, "%s\n%s\n", t.Title, strings.Join(t.Header, "\t"))
		for _, row := range t.Rows {
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		fmt.Fprintln(w)
	}
	return Error.Wrap(w.Flush())
}

// WriteTablesJSON writes the tables as JSON for scripts.
func WriteTablesJSON(out io.Writer, tables []Table) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", " ")
	return Error.Wrap(enc.Encode(tables))
}

// Markers that enclose the tables in docs/CAPACITY.md.
const (
	pageBegin = "<!-- begin of the tables of go run ./proof/cmd/capacity -->\n"
	pageEnd   = "<!-- end of the tables -->\n"
)

// ReplaceTables returns the page with the text between the markers replaced by
// the tables.
func ReplaceTables(page string, tables []Table) (string, error) {
	head, rest, hasBegin := strings.Cut(page, pageBegin)
	_, tail, hasEnd := strings.Cut(rest, pageEnd)
	if !hasBegin || !hasEnd {
		return "", Error.New("the page lacks the begin or end marker of the tables")
	}
	var b strings.Builder
	if err := WriteMarkdown(&b, tables); err != nil {
		return "", err
	}
	return head + pageBegin + b.String() + pageEnd + tail, nil
}
