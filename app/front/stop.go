package front

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// deregistrationDelay is how long after SIGTERM new connections may still
	// arrive: the load balancer removes a host after two failed readiness
	// checks, one per second.
	deregistrationDelay = 2500 * time.Millisecond
	// exitShare is the divisor that gives the part of the grace period reserved for the
	// process to exit, at most maxExitTime. The operator lets endpoints work on requests
	// until the last sixth.
	exitShare   = 8
	maxExitTime = 700 * time.Millisecond
	// stopPollInterval is the time between two checks whether callers are connected,
	// or whether a request whose body arrives slowly can still be taken.
	stopPollInterval = 20 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time of a stopping router. The retry
	// reaches another router.
	stoppingRetryAfter = 100 * time.Millisecond
	// reasonStopping is the reason of refusals because the router stops.
	reasonStopping = "stopping"
)

var errStopping = errors.New("the router stops")

// connChange is by how much a connection's new state changes the number of connections.
var connChange = map[http.ConnState]int64{http.StateNew: 1, http.StateClosed: -1}

// stopTimes holds the times of a stop.
type stopTimes struct {
	// takesUntil is until when requests that may run again are taken even if they may
	// last for longer than the router runs.
	takesUntil proto.Instant
	// canExitAt is when the router may exit if no caller is connected, cutAt when it ends
	// the requests in flight.
	canExitAt, cutAt proto.Instant
	// step limits the two steps of the exit: the release of the lease, the last answers.
	step time.Duration
}

func newStopTimes(now proto.Instant, gracePeriod time.Duration) *stopTimes {
	exit := min(maxExitTime, gracePeriod/exitShare)
	return &stopTimes{
		takesUntil: now.Add(min(deregistrationDelay, gracePeriod/2)),
		canExitAt:  now.Add(deregistrationDelay), cutAt: now.Add(gracePeriod - exit), step: exit / 4,
	}
}

// Drain implements settings.Process: it takes this host out of rotation, completes the
// requests in flight, and stops. Callers that are still connected may send further
// requests; those that may not be completed are refused.
func (f *Front) Drain() error {
	started, gracePeriod := driver.Now(), f.settings.Load().GracePeriod
	stop := newStopTimes(started, gracePeriod)
	f.stop.Store(stop)
	f.log.Info("draining", "in_flight", f.inFlight.Load(), "for", gracePeriod.String())
	f.awaitCallers(stop)
	if n := f.inFlight.Load(); n > 0 {
		f.log.Warn("requests aborted at the end of the stop time", "in_flight", n)
		f.endRequests(errStopping)
	}
	f.announceLeaving()
	release, cancelRelease := context.WithTimeout(context.Background(), stop.step)
	defer cancelRelease()
	f.releaseLease(release)
	f.tomb.Kill(nil)
	_ = f.readinessServer.Close()
	lastAnswers, cancelLast := context.WithTimeout(context.Background(), stop.step)
	defer cancelLast()
	_ = f.callerServer.Shutdown(lastAnswers) // what is left then is closed below
	_ = f.callerServer.Close()
	_ = f.peerConn.Close()
	err := f.tomb.Wait()
	f.log.Info("stopped", "after", driver.Now().Sub(started).String())
	return err
}

// awaitCallers waits until no caller is connected and new connections no longer arrive, or
// until the requests in flight have to be ended.
func (f *Front) awaitCallers(stop *stopTimes) {
	for now := driver.Now(); now < stop.cutAt; now = driver.Now() {
		if now >= stop.canExitAt && f.callerConns.Load() == 0 {
			return
		}
		time.Sleep(min(stopPollInterval, stop.cutAt.Sub(now)))
	}
}

// isTooLate reports whether a request must be refused because the router stops before the
// request's deadline. One that may not run again must not be cut: it is only taken if
// requests of its route have lately ended in the time that is left.
func (x *request) isTooLate() bool {
	stop := x.front.stop.Load()
	if stop == nil || x.deadline <= stop.cutAt {
		return false
	}
	now := driver.Now()
	if now >= stop.takesUntil || x.route.Repeatable() {
		return now >= stop.takesUntil
	}
	longest, ok := x.front.durations.Longest(now, x.route.Name)
	return !ok || now.Add(longest) > stop.cutAt
}

// closeIfStopping makes the caller use another connection for its next request if the router
// stops. It is called before the head of the response is written.
func (x *request) closeIfStopping() {
	if x.front.stop.Load() != nil {
		x.w.Header().Set("Connection", "close")
	}
}
