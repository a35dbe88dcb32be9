package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/membudget"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

// fuzzMaxBody is the limit for bodies; it is not a multiple of the size of a segment.
const fuzzMaxBody = 150_000

// readers are ways in which the bytes of a request arrive.
var readers = []func(io.Reader) io.Reader{
	func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader, iotest.DataErrReader,
}

// Guards against a body that is read otherwise than by the standard library, a refused one
// that is taken, memory that stays counted, and a panic, whatever bytes a caller sends.
func FuzzReadBody(f *testing.F) {
	for _, seed := range []string{
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody",
		"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\nbody",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nffffffffffffffff\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nb\r\n0\r\nA: b\r\n\r\n",
	} {
		f.Add([]byte(seed), uint32(0), uint8(0))
	}
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n"), uint32(150_000), uint8(2))
	f.Add([]byte("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n249f1\r\n"), uint32(150_001), uint8(0))
	f.Add([]byte("0 * H%TP/1.1\nTrAnsfer-EnCoding:Chunked\n\n70\r\n"), uint32(149885), uint8('A'))
	process := &Front{log: slog.New(slog.DiscardHandler), memory: newCallerMemory(slog.New(slog.DiscardHandler)), client: upstream.New()}
	process.metrics = newTelemetry(process)
	process.memory.configure(64<<20, 0)
	f.Fuzz(func(t *testing.T, head []byte, filler uint32, arrival uint8) {
		data := append(bytes.Clone(head), bytes.Repeat([]byte("x"), int(filler%(2*fuzzMaxBody)))...)
		parse := func() *http.Request {
			r, err := http.ReadRequest(bufio.NewReader(readers[int(arrival)%len(readers)](bytes.NewReader(data))))
			if err != nil {
				return nil
			}
			return r
		}
		reference := parse()
		if reference == nil {
			return
		}
		want, err := io.ReadAll(io.LimitReader(reference.Body, fuzzMaxBody+1))
		taken := err == nil && len(want) <= fuzzMaxBody && reference.ContentLength <= fuzzMaxBody
		x := &request{
			front: process, r: parse().WithContext(context.Background()), w: httptest.NewRecorder(), log: process.log, arrived: driver.Now(),
			deadline: driver.Now().Add(time.Minute), route: &serving.Route{}, config: &serving.Config{MaxBody: fuzzMaxBody},
		}
		if ok := x.readBody(); ok != taken {
			t.Fatalf("taken: %v, want %v (%d bytes, %v)", ok, taken, len(want), err)
		}
		if got := bytes.Join(x.body.segments, nil); taken && (!bytes.Equal(got, want) || x.body.size != int64(len(want))) {
			t.Fatalf("%d bytes of %d, or other ones", len(got), len(want))
		}
		x.releaseBody()
		for _, k := range membudget.Kinds() {
			if n := process.memory.budget.Held(k); n != 0 {
				t.Fatalf("%d bytes of %s are still counted", n, k)
			}
		}
	})
}
