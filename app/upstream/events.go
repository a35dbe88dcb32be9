package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

// maxEvent is the greatest size of one event in bytes.
const maxEvent = 1 << 20

// Event is one event of a stream.
type Event struct {
	// ID is the event's number; HasID is false if it has none.
	ID    int64
	HasID bool
	// Raw is the event as it was received, with the blank line that ends it.
	// It is valid until the next call of Next.
	Raw []byte
	// Fields holds the lines before the event's data, by lower-case name, that
	// are none of the standard ones.
	Fields map[string]string
}

// EventReader reads a series of server-sent events.
type EventReader struct {
	reader *bufio.Reader
	buffer []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBuffer)}
}

// Next returns the next whole event. It fails with io.EOF at the end of the
// stream and with io.ErrUnexpectedEOF if it ends within an event.
func (s *EventReader) Next() (Event, error) {
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
				continue // blank lines between events
			}
			e.Raw = s.buffer
			return e, nil
		}
		e.line(line)
	}
}

func (s *EventReader) readLine() error {
	for {
		part, err := s.reader.ReadSlice('\n')
		s.buffer = append(s.buffer, part...)
		if len(s.buffer) > maxEvent {
			return Error.New("an event has more than %d bytes", maxEvent)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return err
	}
}

func (e *Event) line(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return
	}
	switch string(name) {
	case "data", "event", "retry", "":
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

// NextBuffered reports whether a further whole event has been received already. A
// part of one may be all that comes for a while.
func (s *EventReader) NextBuffered() bool {
	received, _ := s.reader.Peek(s.reader.Buffered()) // never more than is there
	received = bytes.TrimLeft(received, "\r\n")
	return bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n"))
}
