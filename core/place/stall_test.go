package place_test

import (
	"testing"
	"time"
)

// Guards against cutting a stream because another request has waited long for its
// endpoint: only silence of a second and a half counts (incident lost-answer).
func TestBegunAttemptStallsOnlyAfterAGap(t *testing.T) {
	r := newFixture(t, 1)
	begun := r.placer.StartAttempt(r.now, r.query("x"), r.choose(r.query("x")))
	r.placer.RecordFirstByte(r.now, begun)
	r.now = r.now.Add(10 * time.Millisecond)
	waiting := r.placer.StartAttempt(r.now, r.query("y"), r.choose(r.query("y")))
	r.now = r.now.Add(1200 * time.Millisecond)
	if r.placer.HasStalled(r.now, begun) {
		t.Error("a stream counts as stalled after a pause of 1.2 s")
	}
	if !r.placer.HasStalled(r.now, waiting) {
		t.Error("a request without an answer does not count as stalled after 1.2 s")
	}
	r.now = r.now.Add(400 * time.Millisecond)
	if !r.placer.HasStalled(r.now, begun) {
		t.Error("a stream does not count as stalled after a pause of 1.6 s")
	}
}

// Guards against cutting the streams of an endpoint that has left the registry and still
// serves (incident lost-answer).
func TestDelistedEndpointHasNotStalled(t *testing.T) {
	r := newFixture(t, 1)
	a := r.placer.StartAttempt(r.now, r.query("x"), r.choose(r.query("x")))
	r.placer.RecordFirstByte(r.now, a)
	r.table.Remove(r.now, "e0")
	r.placer.Update(r.table.Snapshot())
	for range 5 {
		r.now = r.now.Add(time.Second)
		if r.placer.HasStalled(r.now, a) {
			t.Fatal("counts as stalled though it answers")
		}
		a.RecordProgress(r.now)
	}
	r.now = r.now.Add(2 * time.Second)
	if !r.placer.HasStalled(r.now, a) {
		t.Error("does not count as stalled after a pause of 2 s")
	}
}

// Guards against giving up an endpoint that was idle, or that reads one long prompt,
// before the answer is overdue (incident lost-answer).
func TestAttemptAtIdleEndpointHasNotStalledAtOnce(t *testing.T) {
	r := newFixture(t, 1)
	r.send(r.query("x"), 100*time.Millisecond)
	r.now = r.now.Add(5 * time.Second)
	q := r.query("y")
	q.Parts[2].Tokens = 39_000
	c := r.choose(q)
	a := r.placer.StartAttempt(r.now, q, c)
	r.now = r.now.Add(c.ExpectedTTFB / 4)
	if r.placer.HasStalled(r.now, a) {
		t.Errorf("counts as stalled after %v, the first byte is expected after %v", c.ExpectedTTFB/4, c.ExpectedTTFB)
	}
	r.now = r.now.Add(c.ExpectedTTFB * 3 / 4)
	if r.placer.HasStalled(r.now, a) {
		t.Errorf("counts as stalled when the first byte is expected, after %v", c.ExpectedTTFB)
	}
	r.now = r.now.Add(3 * c.ExpectedTTFB)
	if !r.placer.HasStalled(r.now, a) {
		t.Error("does not count as stalled after four times the expected time")
	}
}
