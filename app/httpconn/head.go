// Package httpconn checks what HTTP/1.1 servers send. net/http's parser is lenient: it accepts
// responses of which a client cannot know what their sender meant, such as those with a status
// that HTTP does not define. The clients of this project read through the connections of this
// package, on which such a response is an error.
package httpconn

import "fmt"

// HeadError reports that the head of a response is not valid.
type HeadError struct{ Reason string }

// Error implements error.
func (e *HeadError) Error() string { return "invalid head of an answer: " + e.Reason }

// Statuses that HTTP defines (RFC 9110, section 15).
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	statusDigits   = 3
	// switchingProtocols ends HTTP on a connection. The clients never ask for it.
	switchingProtocols = 101
)

// Head checks the head of one response as it arrives, in parts of any size. The zero value
// expects its first byte.
type Head struct {
	part     headPart
	previous byte
	// status is the number that the first digits bytes of the status code form.
	status, digits int
	// crlf is set if the status line ends with CR and LF, not with LF alone.
	crlf bool
}

// headPart is a part of a head, which the next byte belongs to.
type headPart uint8

const (
	inVersion headPart = iota
	inStatus
	inReason
	atLineStart
	inName
	inValue
	ended
)

// Check checks the next bytes from the connection and returns how many of them belong to the
// head. Errors are of type *HeadError.
func (h *Head) Check(p []byte) (n int, err error) {
	for n < len(p) && h.part != ended {
		if err := h.next(p[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// Ended reports whether the whole head was checked.
func (h *Head) Ended() bool { return h.part == ended }

// IsInformational reports whether another response follows directly. It is valid once the head
// has ended.
func (h *Head) IsInformational() bool { return h.status < minFinalStatus }

func (h *Head) next(b byte) error {
	previous := h.previous
	h.previous = b
	if b == '\n' {
		return h.endLine(previous == '\r')
	}
	switch h.part {
	case inVersion:
		if b == ' ' {
			h.part = inStatus
		}
	case inStatus:
		return h.nextOfStatus(b)
	case atLineStart, inName:
		return h.nextOfName(previous, b)
	}
	return nil
}

func (h *Head) nextOfStatus(b byte) error {
	switch {
	case h.digits == statusDigits && (b == ' ' || b == '\r'):
		h.part = inReason
	case h.digits == 0 && b == ' ': // the blank before the status may be repeated
	case h.digits < statusDigits && '0' <= b && b <= '9':
		h.status = 10*h.status + int(b-'0')
		h.digits++
	default:
		return &HeadError{fmt.Sprintf("byte %q in its status", b)}
	}
	return nil
}

// nextOfName checks a byte of the name of a field, or the CR of the empty line that ends the head.
// A line that begins with a blank would continue the value before it, which senders must not
// use and recipients may reject (RFC 9112, section 5.2).
func (h *Head) nextOfName(previous, b byte) error {
	switch {
	case h.part == inName && b == ':':
		h.part = inValue
	case h.part == atLineStart && h.crlf && previous == '\n' && b == '\r':
	case previous != '\r' && isNameByte(b):
		h.part = inName
	default:
		return &HeadError{fmt.Sprintf("byte %q in the name of a field", b)}
	}
	return nil
}

// endLine checks the end of a line. If the status line ends with CR and LF, an LF alone ends no
// line: a recipient that takes it for one may end the head there.
func (h *Head) endLine(crlf bool) error {
	if h.part <= inReason {
		h.part, h.crlf = atLineStart, crlf
		return h.checkStatus()
	}
	switch {
	case crlf != h.crlf:
		return &HeadError{"lines with different ends"}
	case h.part == atLineStart:
		h.part = ended
	case h.part == inName:
		return &HeadError{"a line without a colon"}
	default:
		h.part = atLineStart
	}
	return nil
}

func (h *Head) checkStatus() error {
	switch {
	case h.digits != statusDigits:
		return &HeadError{"a status line without a status"}
	case h.status < minStatus || h.status > maxStatus, h.status == switchingProtocols:
		return &HeadError{fmt.Sprintf("status %03d", h.status)}
	}
	return nil
}

// isNameByte reports whether a byte may be in the name of a field (RFC 9110, section 5.6.2).
func isNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
