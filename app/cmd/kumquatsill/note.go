package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/kumquatsill/kumquatsill/app/example"
	"github.com/kumquatsill/kumquatsill/app/operator"
	"github.com/kumquatsill/kumquatsill/app/settings"
	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

func noteCommand(s streams) settings.Command {
	p := printer{streams: s}
	return settings.Command{
		Name: "note", Short: "Check, submit and look up release notes",
		Long: `A release note is a JSON document that lists what is added, changed and withdrawn. Once accepted it is in force everywhere.

Examples:
  kumquatsill note example pompas > note.json
  kumquatsill note check note.json
  kumquatsill note submit note.json` + exitCodes,
		Sub: []settings.Command{
			{Name: "check", Short: "Check a note without submitting it", Data: &noteCheck{printer: p}, Long: `Check a note against the configuration in force, or offline against a configuration that "note show --json" has printed.

Examples:
  kumquatsill note check note.json --router 10.0.0.1:8081
  kumquatsill note check note.json --base base.json
  kumquatsill note check first.json --empty-base` + exitCodes},
			{Name: "submit", Short: "Submit a note", Data: &noteSubmit{printer: p}, Long: `Submit a note and print the revision that it became, every error with its field, or the revision that beat it. If the answer is lost, submit again with the same --id, through any router: the note counts once.

Examples:
  kumquatsill note submit note.json --router 10.0.0.1:8081 --router 10.0.0.2:8081
  kumquatsill note submit - --id change-4711 < note.json` + exitCodes},
			{Name: "show", Short: "Show the configuration in force", Data: &noteShow{printer: p}, Long: `Show the configuration in force at a router. With --json the output serves as a base for "note check" and "note diff".

Examples:
  kumquatsill note show
  kumquatsill note show --json > base.json` + exitCodes},
			{Name: "diff", Short: "Print the note between two configurations", Data: &noteDiff{printer: p}, Long: `Print what leads from one configuration to another, or to the one in force. With --json the output is a note; to undo notes, print the difference from the configuration in force to an old one.

Examples:
  kumquatsill note diff monday.json
  kumquatsill note show --json > now.json; kumquatsill note diff now.json monday.json --json > undo.json` + exitCodes},
			{Name: "history", Short: "List the latest notes", Data: &noteHistory{printer: p}, Long: `List the latest notes with what became of them, oldest first.

Examples:
  kumquatsill note history --max 10
  kumquatsill note history --json` + exitCodes},
			{Name: "status", Short: "Look up a submitted note", Data: &noteStatus{printer: p}, Long: `Look up a note by the id under which it was submitted, through any router.

Examples:
  kumquatsill note status change-4711` + exitCodes},
			{Name: "example", Short: "Print an example note", Data: &noteExample{streams: s}, Long: `Print the first note of a deployment, as a start for one's own: "pompas" (3 failure domains, 18 engines, 3 order services) or "karoo" (12 engines, 3 booking services), each with 5 client accounts. Add keys with "key create".

Examples:
  kumquatsill note example pompas > note.json` + exitCodes},
		},
	}
}

type fileArg struct {
	File string `positional-arg-name:"FILE" description:"file, or - for standard input"`
}

// readNote reads and parses a note, and prints what makes it malformed.
func (p *printer) readNote(name string) (note.Note, []byte, error) {
	data, err := p.readInput(name)
	if err != nil {
		return note.Note{}, nil, err
	}
	n, err := note.Parse(data)
	if err == nil {
		return n, data, nil
	}
	out := proto.NoteOutcome{Status: proto.NoteRefused}
	out.Problems = noteProblems(err)
	if err := p.showOutcome(out); err != nil {
		return n, nil, err
	}
	return n, nil, settings.ExitErrorf(settings.ExitUsage, "%s is not a note", name)
}

// noteProblems lists the fields that an error of package note reports.
func noteProblems(err error) []proto.NoteProblem {
	var fields *note.ValidationError
	if !errors.As(err, &fields) {
		return []proto.NoteProblem{{Field: "note", Problem: err.Error()}}
	}
	var out []proto.NoteProblem
	for _, f := range fields.Fields {
		out = append(out, proto.NoteProblem{Field: f.Field, Problem: f.Problem})
	}
	return out
}

func (p *printer) showOutcome(out proto.NoteOutcome) error {
	return p.show(out, func(w io.Writer) {
		if out.ID != "" {
			_, _ = fmt.Fprintf(w, "note %s: %s, revision %d\n", escapeControl(string(out.ID)), out.Status, out.Revision)
		}
		if out.Detail != "" {
			_, _ = fmt.Fprintln(w, escapeControl(out.Detail))
		}
		showProblems(w, out.Problems)
	})
}

func showProblems(w io.Writer, problems []proto.NoteProblem) {
	if len(problems) == 0 {
		return
	}
	rows := [][]string{{"FIELD", "PROBLEM"}}
	for _, problem := range problems {
		rows = append(rows, []string{problem.Field, problem.Problem})
	}
	writeTable(w, rows...)
}

// outcomeError returns nil for an accepted note, otherwise an error with the exit
// code of the outcome.
func outcomeError(out proto.NoteOutcome) error {
	switch out.Status {
	case proto.NoteAccepted:
		return nil
	case proto.NoteRefused:
		return settings.ExitErrorf(settings.ExitRefused, "the note is refused")
	case proto.NoteConflict:
		return settings.ExitErrorf(settings.ExitConflict, "the note is beaten: revision %d is in force; base the note on it", out.Revision)
	}
	return settings.ExitErrorf(settings.ExitUnreachable, "the outcome is unknown; ask with: kumquatsill note status %s", escapeControl(string(out.ID)))
}

type noteCheck struct {
	Base      string `long:"base" value-name:"FILE" description:"configuration to check against, as printed by note show --json"`
	EmptyBase bool   `long:"empty-base" description:"check against the configuration before the first note"`
	printer
	routerClientFlags
	Args fileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *noteCheck) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	c.Required("FILE", f.Args.File)
	f.check(&c)
	if f.Base != "" && f.EmptyBase {
		c.Fail("base", "and --empty-base exclude each other")
	}
	if err := c.Err(); err != nil {
		return err
	}
	n, _, err := f.readNote(f.Args.File)
	if err != nil {
		return err
	}
	base, err := f.base()
	if err != nil {
		return err
	}
	out := proto.NoteOutcome{Status: proto.NoteAccepted, Revision: base.Revision + 1}
	if err := note.Validate(base, n); err != nil {
		out = proto.NoteOutcome{Status: proto.NoteRefused, Revision: base.Revision, Problems: noteProblems(err)}
		if n.BasedOn < base.Revision {
			out.Status = proto.NoteConflict
		}
	}
	err = f.show(out, func(w io.Writer) {
		showProblems(w, out.Problems)
		if out.Status == proto.NoteAccepted {
			_, _ = fmt.Fprintf(w, "the note can become revision %d\n", out.Revision)
		}
	})
	return errors.Join(err, outcomeError(out))
}

func (f *noteCheck) base() (*note.Config, error) {
	switch {
	case f.EmptyBase:
		return note.Empty(), nil
	case f.Base != "":
		return f.readConfig(f.Base)
	}
	return f.configInForce(&f.routerClientFlags)
}

func (s streams) readConfig(name string) (*note.Config, error) {
	data, err := s.readInput(name)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	cfg := note.Empty()
	if err := dec.Decode(cfg); err != nil {
		return nil, settings.ExitErrorf(settings.ExitUsage, "%s is not a configuration: %w", name, err)
	}
	return cfg, nil
}

func (s streams) configInForce(f *routerClientFlags) (*note.Config, error) {
	reply, err := callRouter[proto.ConfigReply](f, proto.ConfigQuery{ID: operator.NewID()})
	if err != nil {
		return nil, err
	}
	s.warnStale(reply.Freshness)
	if !reply.Freshness.Ready {
		return nil, settings.ExitErrorf(settings.ExitUnreachable, "the router does not know the configuration in force")
	}
	cfg := note.Empty()
	if err := json.Unmarshal(reply.Config, cfg); err != nil {
		return nil, fmt.Errorf("the router's configuration does not decode: %w", err)
	}
	return cfg, nil
}

type noteSubmit struct {
	ID string `long:"id" description:"id that makes a repeated submission count once; letters, digits, dashes and underscores; made up if missing"`
	printer
	routerClientFlags
	Args fileArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *noteSubmit) Execute(args []string) error {
	if err := f.validate(args, argument{"FILE", f.Args.File}); err != nil {
		return err
	}
	_, data, err := f.readNote(f.Args.File)
	if err != nil {
		return err
	}
	if f.ID == "" {
		f.ID = operator.NewID()
	}
	m := proto.NoteSubmit{ID: proto.RecordID(f.ID), Note: data, SubmittedWall: time.Now().UTC()}
	out, err := callRouter[proto.NoteOutcome](&f.routerClientFlags, m)
	if err != nil {
		return f.submitError(err)
	}
	if err := f.showOutcome(out); err != nil {
		return err
	}
	if out.Status == proto.NoteConflict {
		f.printWinningNote(out.Revision)
	}
	return outcomeError(out)
}

// submitError adds to a connection error whether the note may have been taken.
// Other errors it returns as they are.
func (f *noteSubmit) submitError(err error) error {
	var unreachable *operator.UnreachableError
	if !errors.As(err, &unreachable) {
		return err
	}
	hint := "the note may have been taken; ask with: kumquatsill note status " + escapeControl(f.ID)
	if unreachable.Unsent {
		hint = "the note was not sent"
	}
	return settings.ExitErrorf(settings.ExitUnreachable, "%w\n%s", err, hint)
}

// printWinningNote prints the note that produced the revision in force.
func (f *noteSubmit) printWinningNote(revision proto.Revision) {
	reply, err := callRouter[proto.HistoryReply](&f.routerClientFlags, proto.HistoryQuery{ID: operator.NewID()})
	if err != nil {
		return // the outcome, already printed, has the revision
	}
	for _, e := range reply.Entries {
		if e.Status == proto.NoteAccepted && e.Revision == revision {
			_, _ = fmt.Fprintf(f.err, "revision %d is note %s by %q: %q\n", revision, escapeControl(string(e.ID)), e.Author, e.Reason)
		}
	}
}

type noteShow struct {
	printer
	routerClientFlags
}

// Execute implements flags.Commander.
func (f *noteShow) Execute(args []string) error {
	if err := f.validate(args); err != nil {
		return err
	}
	cfg, err := f.configInForce(&f.routerClientFlags)
	if err != nil {
		return err
	}
	return f.show(cfg, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "revision %d\n", cfg.Revision)
		n := note.Diff(note.Empty(), cfg)
		showItems(w, "", n.Added)
		showPolicy(w, cfg.Policy)
	})
}

type noteDiff struct {
	printer
	routerClientFlags
	Args struct {
		Old string `positional-arg-name:"OLD" description:"configuration, as printed by note show --json"`
		New string `positional-arg-name:"NEW" description:"configuration; the one in force if missing"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *noteDiff) Execute(args []string) error {
	if err := f.validate(args, argument{"OLD", f.Args.Old}); err != nil {
		return err
	}
	from, err := f.readConfig(f.Args.Old)
	if err != nil {
		return err
	}
	var to *note.Config
	if f.Args.New != "" {
		to, err = f.readConfig(f.Args.New)
	} else {
		to, err = f.configInForce(&f.routerClientFlags)
	}
	if err != nil {
		return err
	}
	n := note.Diff(from, to)
	return f.show(n, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "from revision %d to revision %d\n", from.Revision, to.Revision)
		showNote(w, n)
	})
}

type noteHistory struct {
	Max string `long:"max" default:"20" description:"greatest number of notes"`
	printer
	routerClientFlags
}

// Execute implements flags.Commander.
func (f *noteHistory) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	f.check(&c)
	limit := c.Positive("max", f.Max)
	if err := c.Err(); err != nil {
		return err
	}
	reply, err := callRouter[proto.HistoryReply](&f.routerClientFlags, proto.HistoryQuery{ID: operator.NewID(), Max: int(limit)})
	if err != nil {
		return err
	}
	f.warnStale(reply.Freshness)
	return f.show(reply, func(w io.Writer) { showHistory(w, reply.Entries) })
}

type noteStatus struct {
	printer
	routerClientFlags
	Args struct {
		ID string `positional-arg-name:"ID" description:"id under which the note was submitted"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *noteStatus) Execute(args []string) error {
	if err := f.validate(args, argument{"ID", f.Args.ID}); err != nil {
		return err
	}
	id := proto.RecordID(f.Args.ID)
	reply, err := callRouter[proto.HistoryReply](&f.routerClientFlags, proto.HistoryQuery{ID: operator.NewID(), Note: id})
	if err != nil {
		return err
	}
	f.warnStale(reply.Freshness)
	err = f.show(reply, func(w io.Writer) {
		if len(reply.Entries) > 0 {
			showHistory(w, reply.Entries)
			showProblems(w, reply.Entries[0].Problems)
		}
	})
	return errors.Join(err, statusError(id, reply))
}

func statusError(id proto.RecordID, reply proto.HistoryReply) error {
	f := reply.Freshness
	switch {
	case len(reply.Entries) > 0:
		e := reply.Entries[0]
		return outcomeError(proto.NoteOutcome{ID: e.ID, Status: e.Status, Revision: e.Revision})
	case reply.Pending, !f.Ready, !f.LogReachable:
		return outcomeError(proto.NoteOutcome{ID: id, Status: proto.NoteUnknown})
	}
	return settings.ExitErrorf(settings.ExitNotFound, "no note %s is in the history; if it is older than the history, look into the log", escapeControl(string(id)))
}

type noteExample struct {
	streams
	Args struct {
		Name string `positional-arg-name:"NAME" description:"pompas or karoo"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (f *noteExample) Execute(args []string) error {
	var c settings.Checker
	c.NoArgs(args)
	n, ok := example.Note(f.Args.Name)
	if !ok {
		c.FailArgument("NAME", "is %q, must be one of %v", f.Args.Name, example.DeploymentNames)
	}
	if err := c.Err(); err != nil {
		return err
	}
	p := printer{streams: f.streams}
	return p.printJSON(n)
}
