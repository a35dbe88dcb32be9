package peer

import (
	"slices"
	"testing"

	"github.com/kumquatsill/kumquatsill/core/locality"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

// Guards against loads of a failure domain that are lost or repeated when a message is packed
// in several datagrams.
func TestDomainsArePacked(t *testing.T) {
	m := Message{Counts: quota.Counts{Router: "r1"}, Domains: []locality.Summary{{Service: "s", Slots: 8, Occupied: 4}, {Service: "t", Slots: 2}}}
	for range 200 {
		m.Seen = append(m.Seen, place.Seen{Endpoint: "some-endpoint"})
	}
	datagrams, err := Pack(m)
	if err != nil {
		t.Fatal(err)
	}
	var got []locality.Summary
	for _, part := range decodeAll(t, datagrams, PacketBytes) {
		got = append(got, part.Domains...)
	}
	if !slices.Equal(got, m.Domains) {
		t.Errorf("packed %+v, received %+v", m.Domains, got)
	}
}
