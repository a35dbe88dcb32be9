package serve_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/kv"
	"github.com/kumquatsill/kumquatsill/standin/serve"
	"github.com/kumquatsill/kumquatsill/standin/weights"
)

// Guards against a server that cannot decode the message types that a stand-in defines
// itself.
func TestOwnMessages(t *testing.T) {
	from := proto.EngineAddr("e1")
	for want, c := range map[string]struct {
		standin *serve.Server
		request proto.Envelope
	}{
		`{"call":7,"ok":true,"version":"v2"}`: {
			serve.New(weights.New(weights.Config{LoadTime: 1}), weights.Fetch{}),
			proto.Envelope{From: from, To: weights.Addr, Msg: weights.Fetch{Call: 7, Model: "m", Version: "v2"}},
		},
		`{"call":8,"blocks":0}`: {
			serve.New(kv.New(kv.Config{}), kv.Put{}, kv.Get{}),
			proto.Envelope{From: from, To: kv.Addr, Msg: kv.Get{Call: 8, Blocks: []proto.BlockHash{1}}},
		},
	} {
		server := httptest.NewServer(c.standin)
		data, err := proto.Encode(c.request)
		if err != nil {
			t.Fatal(err)
		}
		events, err := http.Get(server.URL + "/v1/events?addr=" + from.String())
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.Post(server.URL+"/v1/message", "application/json", strings.NewReader(string(data)))
		if err != nil || res.StatusCode != http.StatusAccepted {
			t.Fatalf("%v, %+v", err, res)
		}
		_ = res.Body.Close()
		lines := bufio.NewScanner(events.Body)
		for lines.Scan() && lines.Text() == "" {
			continue
		}
		if !strings.HasPrefix(lines.Text(), "1 ") || !strings.Contains(lines.Text(), want) {
			t.Errorf("got %s, want %s", lines.Text(), want)
		}
		_ = events.Body.Close()
		c.standin.Close()
		server.Close()
	}
}
