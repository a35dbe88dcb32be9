package front

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// storeCall is a call to the platform's store and the body of its answer.
type storeCall struct {
	body string
	call func(ctx context.Context, s *platform.LogStore) error
}

var storeCalls = map[string]storeCall{
	// Two offsets of 8 bytes each, and a record of 3 bytes with a key of 1 byte.
	"read": {strings.Repeat("\x00", 16) + "\x00\x00\x00\x03\x01ab", func(ctx context.Context, s *platform.LogStore) error {
		_, _, err := s.Read(ctx, platform.TopicEndpoints, proto.LogPosition{}, 0)
		return err
	}},
	"listing": {`{"items":[],"hasMore":false,"end":4}`, func(ctx context.Context, s *platform.LogStore) error {
		_, _, err := s.Newest(ctx, platform.TopicEndpoints)
		return err
	}},
	"append": {`{"offset":3,"end":4}`, func(ctx context.Context, s *platform.LogStore) error {
		return s.Append(ctx, platform.TopicLease, proto.LogPosition{Offset: 3}, []byte("x"))
	}},
}

// newTestStore returns a client of a store that gives an answer to each call.
func newTestStore(t *testing.T, answer rawanswer.Answer) *platform.LogStore {
	s := httptest.NewServer(answer)
	t.Cleanup(s.Close)
	return platform.NewLogStore(strings.TrimPrefix(s.URL, "http://"), newStoreTransport())
}

// Guards against a call to the store whose answer stops at any byte and that counts as
// answered: records as read, a listing as complete, an append as made.
func TestCutAnswerOfStoreIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range storeCalls {
		for framing, answer := range map[string]string{
			"length":  fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(c.body), c.body),
			"chunked": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%s0;last\r\nSum: 1\r\n\r\n", head, chunk(c.body)),
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				t.Parallel()
				var sent atomic.Int64
				store := newTestStore(t, func(conn net.Conn, _ *http.Request) { rawanswer.Send(conn, answer[:sent.Load()]) })
				for n := range answer {
					sent.Store(int64(n))
					if err := c.call(t.Context(), store); err == nil {
						t.Errorf("cut after %d of %d bytes: no error", n, len(answer))
					}
				}
				sent.Store(int64(len(answer)))
				if err := c.call(t.Context(), store); err != nil {
					t.Errorf("whole answer: %v", err)
				}
			})
		}
	}
}

// Guards against an append that counts as made though the store has reset the connection while
// the record was being written; and against one that fails though its answer is whole.
func TestAnswerOfStoreResetDuringWriteIsAnError(t *testing.T) {
	const repetitions = 8 // it is left to chance whether the read or the write receives the reset
	const recordBytes = 8 << 20
	body := storeCalls["append"].body
	put := func(answer rawanswer.Answer) error {
		_, err := newTestStore(t, answer).Put(t.Context(), platform.TopicCrashes, "k", make([]byte, recordBytes))
		return err
	}
	unframed := "HTTP/1.1 200 OK\r\n\r\n" + body
	for range repetitions {
		if err := put(func(c net.Conn, _ *http.Request) { rawanswer.SendAndReset(c, unframed) }); err == nil {
			t.Error("no error")
		}
	}
	for name, whole := range rawanswer.Sound("", body) {
		if err := put(rawanswer.Text(whole)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
