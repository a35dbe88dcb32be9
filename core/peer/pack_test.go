package peer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/admission"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

// decodeAll decodes datagrams, each of which must fit into maxBytes.
func decodeAll(t *testing.T, datagrams [][]byte, maxBytes int) []Message {
	t.Helper()
	var messages []Message
	for _, data := range datagrams {
		m, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > maxBytes {
			t.Errorf("a datagram of %d bytes", len(data))
		}
		messages = append(messages, m)
	}
	return messages
}

// Guards against counts and presence that are not sent at all, as the rest of their message
// is too long, and against losing any of the rest.
func TestLongMessageIsPackedWithCountsFirst(t *testing.T) {
	m := Message{
		Counts: quota.Counts{Router: "r1", Incarnation: 7, Spent: map[proto.AccountID]int64{"a": 1}, HasHeardMembers: true},
		Addr:   "127.0.0.1:1", SentAt: 5,
	}
	for i := range 1000 {
		m.Attempts = append(m.Attempts, place.AttemptNotice{Endpoint: proto.EndpointID(fmt.Sprint("e", i)), PrefillTokens: 1000})
		m.Silent = append(m.Silent, proto.EndpointID(fmt.Sprint("e", i)))
		m.Outcomes = append(m.Outcomes, admission.Report{Service: "s", Rank: i})
		m.Incidents = append(m.Incidents, place.IncidentNotice{Endpoint: proto.EndpointID(fmt.Sprint("e", i)), Kind: place.Full})
	}
	datagrams, err := Pack(m)
	if err != nil {
		t.Fatal(err)
	}
	messages := decodeAll(t, datagrams, PacketBytes)
	if first := messages[0]; first.Counts.Spent["a"] != 1 || !first.Counts.HasHeardMembers || first.Addr != m.Addr {
		t.Errorf("the first message is %+v", first)
	}
	attempts, silent, incidents, outcomes := 0, 0, 0, 0
	for _, part := range messages[1:] {
		if part.Counts.Router != "r1" || part.Counts.Incarnation != 7 || part.SentAt != 5 || part.Counts.HasHeardMembers {
			t.Errorf("the sender of a part is %+v", part.Counts)
		}
		attempts, silent = attempts+len(part.Attempts), silent+len(part.Silent)
		incidents, outcomes = incidents+len(part.Incidents), outcomes+len(part.Outcomes)
	}
	if attempts != 1000 || silent != 1000 || incidents != 1000 || outcomes != 1000 {
		t.Errorf("%d attempts, %d silent endpoints, %d incidents and %d outcomes", attempts, silent, incidents, outcomes)
	}
}

// Guards against an item that fits into no datagram and keeps the others from being sent.
func TestItemThatIsTooLongIsLeftOut(t *testing.T) {
	long := proto.EndpointID(strings.Repeat("x", MaxBytes))
	datagrams, err := Pack(Message{Counts: quota.Counts{Router: "r1"}, Silent: []proto.EndpointID{"e1", long, "e2"}})
	if err == nil {
		t.Error("no error")
	}
	var silent []proto.EndpointID
	for _, m := range decodeAll(t, datagrams, PacketBytes) {
		silent = append(silent, m.Silent...)
	}
	if fmt.Sprint(silent) != "[e1 e2]" {
		t.Errorf("silent endpoints %v", silent)
	}
}

// Guards against counts of so many accounts that they are not sent at all.
func TestCountsOfManyAccountsAreSplit(t *testing.T) {
	m := Message{Counts: quota.Counts{Router: "r1", Spent: map[proto.AccountID]int64{}, SpentComplete: true}}
	for i := range 5000 {
		m.Counts.Spent[proto.AccountID(fmt.Sprint("account", i))] = int64(i)
	}
	datagrams, err := Pack(m)
	if err != nil {
		t.Fatal(err)
	}
	got := map[proto.AccountID]int64{}
	for _, part := range decodeAll(t, datagrams, MaxBytes) {
		if part.Counts.SpentComplete {
			t.Error("a part claims to be complete")
		}
		for id, units := range part.Counts.Spent {
			got[id] = units
		}
	}
	if len(got) != 5000 || got["account4999"] != 4999 {
		t.Errorf("%d accounts", len(got))
	}
}
