package main

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// showNote prints the changes of a note.
func showNote(w io.Writer, n note.Note) {
	showItems(w, "added ", n.Added)
	showItems(w, "changed ", n.Changed)
	showWithdrawn(w, n.Withdrawn)
	if n.Changed.Policy != nil {
		showPolicy(w, *n.Changed.Policy)
	}
}

// section prints a titled table unless it has no rows.
func section(w io.Writer, title string, head []string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%s (%d)\n", title, len(rows))
	table(w, append([][]string{head}, rows...)...)
}

func rowsOf[T any](items []T, row func(T) []string) [][]string {
	var rows [][]string
	for _, item := range items {
		rows = append(rows, row(item))
	}
	return rows
}

func showItems(w io.Writer, prefix string, items note.Items) {
	section(w, prefix+"accounts", []string{"ACCOUNT", "RATE", "BURST", "PRIORITY", "WEIGHT"}, rowsOf(items.Accounts, func(a note.Account) []string {
		return []string{string(a.ID), number(a.Rate), number(a.Burst), number(a.Priority), number(max(1, a.Weight))}
	}))
	section(w, prefix+"keys", []string{"HASH", "ACCOUNT"}, rowsOf(items.Keys, func(k note.Key) []string {
		return []string{string(k.Hash), string(k.Account)}
	}))
	section(w, prefix+"endpoints", []string{"ENDPOINT", "KIND", "DOMAIN", "ADDR", "SERVES", "CHECKS FENCE", "LEAVING"}, rowsOf(items.Endpoints, func(e note.Endpoint) []string {
		serves := strings.Join(append(slices.Clone(e.Models), e.Service), " ")
		return []string{string(e.ID), string(e.Kind), string(e.Domain), e.Addr, strings.TrimSpace(serves), yesNo(e.ChecksFence), yesNo(e.Leaving)}
	}))
	section(w, prefix+"models", []string{"MODEL", "VERSION", "ADAPTERS", "MIN ENDPOINTS"}, rowsOf(items.Models, func(m note.Model) []string {
		return []string{m.Name, m.Version, strings.Join(m.Adapters, " "), number(max(1, m.MinEndpoints))}
	}))
	section(w, prefix+"routes", []string{"METHOD", "PATH", "SERVICE", "IDEMPOTENT", "OPEN"}, rowsOf(items.Routes, func(r note.Route) []string {
		return []string{r.Method, r.Path, r.Service, yesNo(r.Idempotent), yesNo(r.Unauthenticated)}
	}))
}

func showWithdrawn(w io.Writer, gone note.Withdrawn) {
	var rows [][]string
	rows = append(rows, rowsOf(gone.Accounts, func(id proto.AccountID) []string { return []string{"account", string(id)} })...)
	rows = append(rows, rowsOf(gone.Keys, func(h proto.KeyHash) []string { return []string{"key", string(h)} })...)
	rows = append(rows, rowsOf(gone.Endpoints, func(id proto.EndpointID) []string { return []string{"endpoint", string(id)} })...)
	rows = append(rows, rowsOf(gone.Models, func(name string) []string { return []string{"model", name} })...)
	rows = append(rows, rowsOf(gone.Routes, func(r note.RouteID) []string { return []string{"route", r.Method + " " + r.Path} })...)
	section(w, "withdrawn", []string{"KIND", "NAME"}, rows)
}

func showPolicy(w io.Writer, p note.Policy) {
	weight := func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
	_, _ = fmt.Fprintln(w, "\npolicy")
	table(w, []string{"tail weight", weight(p.TTFTWeight)}, []string{"hit weight", weight(p.CacheHitWeight)},
		[]string{"max loads", number(p.MaxConcurrentLoads)}, []string{"intent shards", number(p.IntentShards)},
		[]string{"static slots", number(p.StaticSlots)}, []string{"quarantine", time.Duration(p.Quarantine).String()})
}

func showHistory(w io.Writer, entries []proto.NoteEntry) {
	rows := [][]string{{"ID", "STATUS", "REVISION", "BASED ON", "PROBLEMS", "SUBMITTED", "AUTHOR", "REASON"}}
	for _, e := range entries {
		submitted := ""
		if !e.SubmittedWall.IsZero() {
			submitted = e.SubmittedWall.UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{
			string(e.ID), string(e.Status), number(e.Revision), number(e.BasedOn), number(e.ProblemCount), submitted, e.Author, e.Reason,
		})
	}
	table(w, rows...)
}
