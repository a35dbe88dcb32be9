package upstream_test

import (
	"net"
	"testing"

	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/standin/rawanswer"
)

// serveTexts starts a server that answers each request on a connection with the next text, and
// closes the connection after the last one.
func serveTexts(t *testing.T, texts []string) *server {
	t.Helper()
	var script []func(net.Conn)
	for _, text := range texts {
		script = append(script, write(text))
	}
	script[len(script)-1] = func(c net.Conn) {
		write(texts[len(texts)-1])(c)
		closeConn(c)
	}
	return serve(t, script...)
}

// Guards against an invalid head that is taken for the answer or for a lost connection, which
// counts as a crash of the endpoint: on a new connection, on one that has carried an answer, and
// behind a late copy of another answer that arrives together with it.
func TestInvalidHeadIsNoLostConnection(t *testing.T) {
	const fields = "Id: 1\r\n"
	late := response("0", "late")
	for name, text := range rawanswer.InvalidHeads(fields, "body") {
		for before, script := range map[string][]string{"": {text}, "late answer": {late + text}, "answer": {response("1", "whole"), text}} {
			c, s := upstream.New(), serveTexts(t, script)
			var err error
			for range script {
				_, err = send(t, c, request(s, "1"))
			}
			if err == nil {
				t.Errorf("%s after %q: no error", name, before)
			} else if e := asSendError(t, err); e.ConnectionLost || e.Verdict != proto.MayHaveRun {
				t.Errorf("%s after %q: lost %t, %v", name, before, e.ConnectionLost, e.Verdict)
			}
		}
	}
	for name, text := range rawanswer.Sound(fields, "body") {
		for before, script := range map[string][]string{"": {text}, "late answer": {late + text}} {
			if body, err := send(t, upstream.New(), request(serveTexts(t, script), "1")); body != "body" || err != nil {
				t.Errorf("%s after %q: %q, %v", name, before, body, err)
			}
		}
	}
}
