package fleet_test

import (
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/core/note"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/proof/drive"
	"github.com/kumquatsill/kumquatsill/proof/fleet"
)

func orderNote() note.Note {
	n := smallNote()
	n.Added.Endpoints = append(n.Added.Endpoints, note.Endpoint{
		ID: "s1", Kind: note.KindService, Domain: "d0", Addr: "127.0.0.1:7103", Service: "orders",
	})
	n.Added.Routes = []note.Route{{Method: "POST", Path: "/orders", Service: "orders"}}
	return n
}

func placeOrder(id proto.RequestID, idempotencyKey string) proto.CallerRequest {
	return proto.CallerRequest{
		ID: id, Key: key, Class: proto.ClassCall, Method: "POST", Path: "/orders",
		Body: []byte(`{"order":"` + idempotencyKey + `"}`), IdempotencyKey: idempotencyKey, Timeout: 30 * time.Second,
	}
}

// Guards against an order that runs twice when its caller repeats it through
// another router, concurrently or after the response.
func TestOrderRunsOnce(t *testing.T) {
	f := fleet.Start(fleet.Config{Drive: drive.Config{Seed: 3}, Routers: 2, Domains: []proto.Domain{"d0", "d1"}, Note: orderNote()})
	if !f.WaitReady(1) {
		t.Fatalf("the first note is not in force; outcomes: %+v", f.Callers.NoteOutcomes)
	}
	f.Sim.Run(3 * time.Second)
	first := f.Callers.Send(f.RouterAddr(0), placeOrder("q1", "k1"))
	second := f.Callers.Send(f.RouterAddr(1), placeOrder("q2", "k1"))
	f.Sim.Run(10 * time.Second)
	third := f.Callers.Send(f.RouterAddr(1), placeOrder("q3", "k1"))
	f.Sim.Run(10 * time.Second)
	if f.RunCounter.OrderCount() != 1 || f.RunCounter.RepeatedOrders() != 0 {
		t.Errorf("%d orders ran, %d of them more than once, want 1 and 0", f.RunCounter.OrderCount(), f.RunCounter.RepeatedOrders())
	}
	if first.Finish == nil && second.Finish == nil {
		t.Errorf("neither request got a response: %+v, %+v", first.Refusal, second.Refusal)
	}
	if third.Finish == nil || !third.Finish.Replayed {
		t.Errorf("the repeat got %+v, %+v, want the recorded response", third.Finish, third.Refusal)
	}
}
