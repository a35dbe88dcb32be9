package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	// ID is the event's numeric ID; HasID is false if it has none.
	ID    int64
	HasID bool
	// HasData is false if the event only has comments or other fields.
	HasData bool
	// Raw is the event as received, including the terminating blank line. It is
	// valid until the next call to Next.
	Raw []byte
	// Fields holds the event's non-standard fields by lower-case name.
	Fields map[string]string
}

// EventReader reads a stream of server-sent events.
type EventReader struct {
	reader *bufio.Reader
	buffer []byte
	hold   *hold
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next complete event. It returns io.EOF at the end of the
// stream and io.ErrUnexpectedEOF if the stream ends within an event.
func (s *EventReader) Next() (Event, error) {
	if len(s.buffer) > uncountedBytes {
		s.buffer = nil
	}
	s.hold.release()
	s.buffer = s.buffer[:0]
	e := Event{}
	for {
		start := len(s.buffer)
		if err := s.readLine(); err != nil {
			if err == io.EOF && len(bytes.TrimSpace(s.buffer)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(s.buffer[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				s.buffer = s.buffer[:0]
				continue // an additional blank line between events
			}
			e.Raw = s.buffer
			return e, nil
		}
		e.line(line)
	}
}

// readLine appends the next line to the buffer.
func (s *EventReader) readLine() error {
	for {
		part, err := s.reader.ReadSlice('\n')
		if full := s.hold.add(len(part)); full != nil {
			return full
		}
		s.buffer = append(s.buffer, part...)
		if len(s.buffer) > maxEventBytes {
			return Error.New("an event has more than %d bytes", maxEventBytes)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return err
	}
}

// line parses one line of the event.
func (e *Event) line(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch string(name) {
	case "data":
		e.HasData = true
	case "event", "retry", "":
	case "id":
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			e.ID, e.HasID = id, true
		}
	default:
		if e.Fields == nil {
			e.Fields = map[string]string{}
		}
		e.Fields[strings.ToLower(string(name))] = string(bytes.TrimSpace(value))
	}
}

// NextBuffered reports whether another complete event is already buffered. An
// incomplete one does not count, as its rest may not arrive for a while.
func (s *EventReader) NextBuffered() bool {
	received, _ := s.reader.Peek(s.reader.Buffered()) // cannot fail: all of it is buffered
	received = bytes.TrimLeft(received, "\r\n")
	return bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n"))
}
