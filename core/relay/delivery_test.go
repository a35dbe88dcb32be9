package relay_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
)

var eventActions = map[relay.EventAction]string{relay.ForwardEvent: "forward", relay.SkipEvent: "skip", relay.RejectEvent: "reject"}

// Guards against pieces that are missing, repeated or of another run where an attempt
// continues the stream of an earlier one. Each line of input is one attempt.
func TestContinuedStream(t *testing.T) {
	datadriven.RunTest(t, "testdata/delivery", func(t *testing.T, d *datadriven.TestData) string {
		r := relay.New(&serving.Route{Kind: serving.Stream, Resumable: true, Attempts: 3}, &fixedBudget{left: 10})
		var out strings.Builder
		for attempt := range strings.Lines(d.Input) {
			r.AttemptStarted("e")
			for event := range strings.FieldsSeq(attempt) {
				fmt.Fprintf(&out, "%s:%s ", event, receive(t, r.Delivery(), event))
			}
			last, ok := r.Delivery().LastEvent()
			fmt.Fprintf(&out, "may end %t, may continue %t after %d %t\n", r.Delivery().CanEnd(), r.Delivery().CanContinue(), last, ok)
		}
		return out.String()
	})
}

// receive passes on an event, written as its ID, "data" or "comment".
func receive(t *testing.T, d *relay.Delivery, event string) string {
	e := relay.Event{HasData: event != "comment"}
	if event != "data" && event != "comment" {
		id, err := strconv.ParseInt(event, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		e.ID, e.HasID = id, true
	}
	action := d.ReceiveEvent(e)
	if action == relay.ForwardEvent {
		d.BeginStream()
		d.EventSent(e)
	}
	return eventActions[action]
}
