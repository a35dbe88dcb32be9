package auditlog

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// fileFormat identifies the file format: JSON lines with a header and then one
// record per line.
const fileFormat = "kumquatsill-audit-1"

// header is the first line of a file.
type header struct {
	Format string `json:"format"`
	Bounds
}

// Export writes the records that a source holds when it is called as JSON lines.
func Export(ctx context.Context, src Source, w io.Writer) (Bounds, error) {
	b, err := src.Bounds(ctx)
	if err != nil {
		return b, err
	}
	out := json.NewEncoder(w)
	if err := out.Encode(header{Format: fileFormat, Bounds: b}); err != nil {
		return b, Error.Wrap(err)
	}
	return b, src.Read(ctx, b, func(rec proto.Record) error { return Error.Wrap(out.Encode(rec)) })
}

// ExportFile writes an export to a temporary file and renames it to name when
// it is complete.
func ExportFile(ctx context.Context, src Source, name string) (b Bounds, err error) {
	f, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+"-*")
	if err != nil {
		return b, Error.Wrap(err)
	}
	defer func() {
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}()
	buf := bufio.NewWriter(f)
	b, err = Export(ctx, src, buf)
	if err = errors.Join(err, buf.Flush(), f.Sync(), f.Close()); err != nil {
		return b, err
	}
	return b, Error.Wrap(os.Rename(f.Name(), name))
}

// FormatError reports a file that is not an audit export.
type FormatError struct{ Detail string }

// Error implements error.
func (e *FormatError) Error() string { return "not an audit export: " + e.Detail }

// File reads an audit export. It implements Source.
type File struct {
	in   *bufio.Reader
	line int
}

// NewFile returns a reader of an export.
func NewFile(r io.Reader) *File { return &File{in: bufio.NewReaderSize(r, 1<<20)} }

func (f *File) readLine() ([]byte, error) {
	line, err := f.in.ReadBytes('\n')
	if errors.Is(err, io.EOF) && len(line) > 0 {
		err = nil
	}
	f.line++
	return bytes.TrimSpace(line), err
}

// Bounds implements Source: it reads the header. It returns a *FormatError or a
// read error.
func (f *File) Bounds(context.Context) (Bounds, error) {
	line, err := f.readLine()
	if errors.Is(err, io.EOF) {
		return Bounds{}, &FormatError{Detail: "it is empty"}
	}
	if err != nil {
		return Bounds{}, Error.Wrap(err)
	}
	var h header
	if err := json.Unmarshal(line, &h); err != nil {
		return Bounds{}, &FormatError{Detail: "the first line is no header: " + err.Error()}
	}
	if h.Format != fileFormat {
		return Bounds{}, &FormatError{Detail: "the header does not name the format " + fileFormat}
	}
	if h.First < 0 || h.Head < h.First {
		return Bounds{}, &FormatError{Detail: "the offsets in the header are not valid"}
	}
	return h.Bounds, nil
}

// Read implements Source. It yields the records that follow the header, whether
// or not they agree with it. A line that cannot be decoded yields a record of
// kind kindBadLine.
func (f *File) Read(_ context.Context, _ Bounds, record func(proto.Record) error) error {
	for {
		line, err := f.readLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		var rec proto.Record
		if err := strictDecode(line, &rec); err != nil {
			rec = proto.Record{Kind: kindBadLine, Offset: unknownOffset, Body: json.RawMessage(fmt.Sprintf("line %d: %v", f.line, err))}
		}
		if err := record(rec); err != nil {
			return err
		}
	}
}

// strictDecode decodes JSON and refuses unknown fields: dropping them would hide
// data that the hashes do not cover.
func strictDecode(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the end")
	}
	return nil
}
