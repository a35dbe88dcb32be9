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

// showNote prints what a note adds, changes and withdraws.
func showNote(w io.Writer, n note.Note) {
	showItems(w, "added ", n.Added)
	showItems(w, "changed ", n.Changed)
	showWithdrawn(w, n.Withdrawn)
	if n.Changed.Policy != nil {
		showPolicy(w, *n.Changed.Policy)
	}
}

// writeSection writes a titled table, or nothing if there are no rows.
func writeSection(w io.Writer, title string, head []string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "\n%s (%d)\n", title, len(rows))
	writeTable(w, append([][]string{head}, rows...)...)
}

func rowsOf[T any](items []T, row func(T) []string) [][]string {
	var rows [][]string
	for _, item := range items {
		rows = append(rows, row(item))
	}
	return rows
}

func showItems(w io.Writer, prefix string, items note.Items) {
	writeSection(w, prefix+"accounts", []string{"ACCOUNT", "RATE", "BURST", "PRIORITY", "WEIGHT"}, rowsOf(items.Accounts, func(a note.Account) []string {
		return []string{string(a.ID), formatInt(a.Rate), formatInt(a.Burst), formatInt(a.Priority), formatInt(max(1, a.Weight))}
	}))
	writeSection(w, prefix+"keys", []string{"HASH", "ACCOUNT"}, rowsOf(items.Keys, func(k note.Key) []string {
		return []string{string(k.Hash), string(k.Account)}
	}))
	writeSection(w, prefix+"endpoints", []string{"ENDPOINT", "KIND", "DOMAIN", "ADDR", "SERVES", "CHECKS FENCE", "LEAVING"}, rowsOf(items.Endpoints, func(e note.Endpoint) []string {
		serves := strings.Join(append(slices.Clone(e.Models), e.Service), " ")
		return []string{string(e.ID), string(e.Kind), string(e.Domain), e.Addr, strings.TrimSpace(serves), yesNo(e.ChecksFence), yesNo(e.Leaving)}
	}))
	writeSection(w, prefix+"models", []string{"MODEL", "VERSION", "ADAPTERS", "MIN ENDPOINTS"}, rowsOf(items.Models, func(m note.Model) []string {
		return []string{m.Name, m.Version, strings.Join(m.Adapters, " "), formatInt(max(1, m.MinEndpoints))}
	}))
	writeSection(w, prefix+"routes", []string{"METHOD", "PATH", "SERVICE", "IDEMPOTENT", "OPEN"}, rowsOf(items.Routes, func(r note.Route) []string {
		return []string{r.Method, r.Path, r.Service, yesNo(r.Idempotent), yesNo(r.Unauthenticated)}
	}))
}

func showWithdrawn(w io.Writer, withdrawn note.Withdrawn) {
	var rows [][]string
	rows = append(rows, rowsOf(withdrawn.Accounts, func(id proto.AccountID) []string { return []string{"account", string(id)} })...)
	rows = append(rows, rowsOf(withdrawn.Keys, func(h proto.KeyHash) []string { return []string{"key", string(h)} })...)
	rows = append(rows, rowsOf(withdrawn.Endpoints, func(id proto.EndpointID) []string { return []string{"endpoint", string(id)} })...)
	rows = append(rows, rowsOf(withdrawn.Models, func(name string) []string { return []string{"model", name} })...)
	rows = append(rows, rowsOf(withdrawn.Routes, func(r note.RouteID) []string { return []string{"route", r.Method + " " + r.Path} })...)
	writeSection(w, "withdrawn", []string{"KIND", "NAME"}, rows)
}

func showPolicy(w io.Writer, p note.Policy) {
	weight := func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
	_, _ = fmt.Fprintln(w, "\npolicy")
	writeTable(w, []string{"tail weight", weight(p.TTFTWeight)}, []string{"hit weight", weight(p.CacheHitWeight)},
		[]string{"max loads", formatInt(p.MaxConcurrentLoads)}, []string{"intent shards", formatInt(p.IntentShards)},
		[]string{"static slots", formatInt(p.StaticSlots)}, []string{"quarantine", time.Duration(p.Quarantine).String()})
}

func showHistory(w io.Writer, entries []proto.NoteEntry) {
	rows := [][]string{{"ID", "STATUS", "REVISION", "BASED ON", "PROBLEMS", "SUBMITTED", "AUTHOR", "REASON"}}
	for _, e := range entries {
		submitted := ""
		if !e.SubmittedWall.IsZero() {
			submitted = e.SubmittedWall.UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{
			string(e.ID), string(e.Status), formatInt(e.Revision), formatInt(e.BasedOn), formatInt(e.ProblemCount), submitted, e.Author, e.Reason,
		})
	}
	writeTable(w, rows...)
}
