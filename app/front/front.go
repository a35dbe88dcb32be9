// Package front is the router process of the hosting platform. It connects the
// decision logic of the core packages to the platform's APIs and proxies the
// requests of callers to endpoints.
package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/driver"
	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/admission"
	"github.com/kumquatsill/kumquatsill/core/canary"
	"github.com/kumquatsill/kumquatsill/core/crash"
	"github.com/kumquatsill/kumquatsill/core/discovery"
	"github.com/kumquatsill/kumquatsill/core/endpointstate"
	"github.com/kumquatsill/kumquatsill/core/leader"
	"github.com/kumquatsill/kumquatsill/core/pace"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/place"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
	"github.com/kumquatsill/kumquatsill/core/relay"
	"github.com/kumquatsill/kumquatsill/core/serving"
	"github.com/kumquatsill/kumquatsill/core/upgrade"
	"github.com/kumquatsill/kumquatsill/platform"
	"github.com/uptrace/bunrouter"
	"github.com/zeebo/errs"
	"gopkg.in/tomb.v2"
)

// Error is the class of all errors of this package.
var Error = errs.Class("front")

const (
	// versionStartMargin is the part of a model version's lifetime reserved for a
	// request to reach its engine and begin. Requests that are expected to wait
	// for longer are not sent, and those that do are withdrawn.
	versionStartMargin = 500 * time.Millisecond
	// versionMargin covers the delay until a new version is read from the store
	// and the time until a canceled request has left its engine.
	versionMargin = 500 * time.Millisecond
	// registryLag is the delay until a heartbeat is read from the registry.
	registryLag = 800 * time.Millisecond
	// housekeepingInterval is the time between two runs of the housekeeping.
	housekeepingInterval = 250 * time.Millisecond
	// headerTimeout and idleTimeout apply to callers' connections. Callers
	// reuse connections for up to four fifths of the operator's idle limit.
	headerTimeout = 5 * time.Second
	idleTimeout   = 30 * time.Second
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
	// responseMemoryFraction is the fraction of the process's memory limit that the
	// responses in progress of endpoints may take together.
	responseMemoryFraction = 1.0 / 32
)

// Config holds what the process needs in addition to the platform's settings.
type Config struct {
	Settings platform.Settings
	// SettingsPath is the file that Reload reads again.
	SettingsPath string
	Log          *slog.Logger
	// MetricsPort is a further port of the readiness server, which also serves the
	// metrics, or 0.
	MetricsPort uint16
	// ProcessMemory is the memory limit that the process sees, or 0. It applies if the
	// settings have none.
	ProcessMemory int64
	// AdaptDomainCost is set if the cost of sending work to other failure domains is to
	// depend on the loads of these and of the own one.
	AdaptDomainCost bool
	// LogDropped returns the number of log lines dropped so far.
	LogDropped func() int64
}

// Front is the router process. It implements settings.Process.
type Front struct {
	// cfg holds the settings as of the start, which include the identity and
	// the addresses of this process; settings holds those in force.
	cfg      Config
	settings atomic.Pointer[platform.Settings]
	log      *slog.Logger
	// incarnation is the start time in nanoseconds, by which peers distinguish a
	// restarted router from the one before.
	incarnation int64
	tomb        tomb.Tomb

	store   *platform.LogStore
	engines *platform.EngineClient
	client  *upstream.Client
	metrics *telemetry
	memory  *callerMemory

	// config is the configuration in force, or nil until the first one is read.
	config atomic.Pointer[serving.Config]
	// storeReadAt is when the operator's records were last read.
	storeReadAt atomic.Int64
	// stop is nil until the router stops.
	stop atomic.Pointer[stopTimes]
	// inFlight counts the requests of callers, callerConns their connections.
	inFlight, callerConns atomic.Int64
	// ownDelay measures for how long this process did not run.
	ownDelay pace.OwnDelay
	// durations holds how long requests of each route take.
	durations relay.Durations
	// patience holds how long callers of each route and account wait at first.
	patience relay.Durations

	quota  *quota.Tracker
	placer *place.Placer
	// endpointStates keeps what endpoints say about themselves.
	endpointStates *endpointstate.Tracker
	admission      *admission.Controller
	crashes        *crash.Register
	// unsavedTraits holds the changes of blocked traits that wait to be written.
	unsavedTraits chan crash.Change
	// rollouts decides which release of a service gets a request. rolloutsChanged is set if
	// the peers should be told of it early. statusWrites holds the services whose status is
	// being written.
	rollouts        *canary.Table
	rolloutsChanged atomic.Bool
	statusWrites    sync.Map
	// routersListed is set once the registrations of the routers were read.
	routersListed atomic.Bool
	// retryBudgets maps a service's name to its *relay.RetryBudget.
	retryBudgets sync.Map

	// mu guards the fields up to the next blank line. Handling a request
	// does not use them.
	mu      sync.Mutex
	table   *discovery.Table
	planner *upgrade.Planner
	lease   *leader.Lease
	peers   map[proto.RouterID]*peerState
	// facts tells the peers what crashes endpoints, and reads what they tell.
	facts *peer.FactSync
	// loading maps the engines that this router has ordered to load weights, or
	// that have reported to it that they are busy with an order, to the time until
	// which they are expected to take no work. Peers are notified of them.
	loading        map[proto.EndpointID]proto.Instant
	loadingChanged atomic.Bool
	// reportedVersions holds versions that engines have reported and that their
	// registrations may not show yet.
	reportedVersions map[proto.EndpointID]platform.AnnouncedVersion
	// storeFollowers holds the functions that stop the followers of cache stores,
	// by the stores' addresses.
	storeFollowers map[string]context.CancelFunc
	// storeFeeds maps the addresses of cache stores to their *place.StoreFeed.
	storeFeeds sync.Map

	// fullUntil is the time until which all periodic messages to peers are full;
	// see fullPeriod.
	fullUntil atomic.Int64
	// earlySend requests a message to the peers before the next periodic one.
	earlySend chan struct{}

	// endRequests ends the requests of callers that are in flight, with a cause.
	endRequests                       context.CancelCauseFunc
	callerServer, readinessServer     *http.Server
	callerListener, readinessListener net.Listener
	// metricsListener is nil if there is none.
	metricsListener net.Listener
	peerConn        *net.UDPConn
	// farMessages counts the messages to far peers. Only the goroutine that sends
	// them uses it.
	farMessages int
}

// New returns a process that already listens on its addresses but serves only
// after Start.
func New(cfg Config) (*Front, error) {
	now := driver.Now()
	incarnation := time.Now().UnixNano()
	id := proto.RouterID(cfg.Settings.Host)
	states := endpointstate.New(endpointstate.Router{ID: id, Domain: cfg.Settings.Domain})
	f := &Front{
		cfg: cfg, log: cfg.Log, incarnation: incarnation,
		store:            platform.NewLogStore(cfg.Settings.Store, newStoreTransport()),
		client:           upstream.New(),
		ownDelay:         pace.OwnDelay{Interval: delayTick},
		memory:           newCallerMemory(cfg.Log),
		quota:            quota.New(now, id, incarnation),
		placer:           place.New(place.Config{Domain: cfg.Settings.Domain, Costs: place.DefaultCosts(), Seed: uint64(incarnation), States: states, AdaptDomainCost: cfg.AdaptDomainCost}),
		endpointStates:   states,
		admission:        admission.New(),
		crashes:          crash.NewRegister(),
		rollouts:         canary.NewTable(id, incarnation),
		unsavedTraits:    make(chan crash.Change, maxUnsavedTraits),
		table:            discovery.NewTable(),
		planner:          upgrade.New(),
		lease:            leader.New(cfg.Settings.Host, incarnation),
		peers:            map[proto.RouterID]*peerState{},
		loading:          map[proto.EndpointID]proto.Instant{},
		reportedVersions: map[proto.EndpointID]platform.AnnouncedVersion{},
		storeFollowers:   map[string]context.CancelFunc{},
		earlySend:        make(chan struct{}, 1),
	}
	f.facts = peer.NewFactSync(id, incarnation, f.crashes)
	f.engines = platform.NewEngineClient(endpointCaller{client: f.client, admit: f.admitControlCall, observe: f.observeControlAnswer})
	f.planner.SetSaysLeaving(f.saysLeaving)
	f.metrics = newTelemetry(f)
	f.rollouts.SetBounds(cfg.Settings.Rollout)
	f.applySettings(cfg.Settings)
	f.fullUntil.Store(int64(now.Add(fullMessageTime)))
	if err := f.listen(); err != nil {
		return nil, err
	}
	return f, nil
}

// applySettings puts the settings in force that may change while the process
// runs.
func (f *Front) applySettings(s platform.Settings) {
	f.settings.Store(&s)
	// The heartbeat of an endpoint is overdue after two intervals plus the delay
	// of the registry.
	f.placer.SetLimits(place.Limits{
		VersionLifetime: s.VersionLifetime - versionMargin, VersionStartMargin: versionStartMargin,
		HeartbeatTimeout: 2*s.HeartbeatInterval + registryLag,
	})
	f.endpointStates.SetDrainTimeout(s.DrainTimeout)
	f.client.Memory.Limit.Store(int64(responseMemoryFraction * float64(f.memoryLimit(s))))
	f.memory.configure(f.memoryLimit(s), s.FileDescriptors)
	// If engines check fencing tokens, no delay is needed after a holder has
	// released the lease.
	afterRelease := s.LeaseTakeoverDelay
	if s.EnginesEnforceFencing {
		afterRelease = 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.SetTakeoverDelays(s.LeaseTakeoverDelay, afterRelease)
}

func (f *Front) listen() error {
	addr, err := net.ResolveUDPAddr("udp4", f.cfg.Settings.PeerAddr)
	if err != nil {
		return Error.Wrap(err)
	}
	if f.peerConn, err = net.ListenUDP("udp4", addr); err != nil {
		return Error.Wrap(err)
	}
	if f.callerListener, err = net.Listen("tcp4", f.cfg.Settings.CallerAddr); err != nil {
		return errors.Join(Error.Wrap(err), f.peerConn.Close())
	}
	if f.readinessListener, err = net.Listen("tcp4", f.cfg.Settings.ReadinessAddr); err != nil {
		return errors.Join(Error.Wrap(err), f.peerConn.Close(), f.callerListener.Close())
	}
	if f.cfg.MetricsPort != 0 {
		addr := net.JoinHostPort(f.cfg.Settings.IP, strconv.Itoa(int(f.cfg.MetricsPort)))
		if f.metricsListener, err = net.Listen("tcp4", addr); err != nil {
			f.log.Warn("metrics not served", "addr", addr, "error", err.Error())
		}
	}
	requests, endRequests := context.WithCancelCause(context.Background())
	f.endRequests = endRequests
	f.callerServer = &http.Server{
		Handler:           http.HandlerFunc(f.serve),
		BaseContext:       func(net.Listener) context.Context { return requests },
		ConnContext:       withCallerConn,
		ConnState:         f.connStateChanged,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	router := bunrouter.New()
	router.GET("/metrics", f.handleMetrics)
	router.GET("/rollouts", f.handleRollouts)
	router.POST(ExplainPath, newExplainer(f).handle)
	router.GET("/*path", f.handleReadiness)
	f.readinessServer = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	return nil
}

// Start implements settings.Process.
func (f *Front) Start() {
	s := f.cfg.Settings
	f.log.Info("started", "host", s.Host, "domain", string(s.Domain), "callers", s.CallerAddr, "ready", s.ReadinessAddr,
		"peers", s.PeerAddr, "store", s.Store, "life", f.incarnation)
	f.tomb.Go(func() error {
		f.tomb.Go(func() error { return serveHTTP(f.callerServer, &callerListener{f.callerListener, f.memory}) })
		f.tomb.Go(func() error { return serveHTTP(f.readinessServer, f.readinessListener) })
		if f.metricsListener != nil {
			f.tomb.Go(func() error { return serveHTTP(f.readinessServer, f.metricsListener) })
		}
		ctx := f.tomb.Context(context.Background())
		f.tomb.Go(func() error { return f.followOperator(ctx) })
		f.tomb.Go(func() error { return f.followEndpoints(ctx) })
		f.tomb.Go(func() error { return f.followRouters(ctx) })
		f.tomb.Go(func() error { return f.followRollouts(ctx) })
		f.tomb.Go(func() error { return f.runRollouts(ctx) })
		f.tomb.Go(func() error { return f.followEra(ctx) })
		f.tomb.Go(func() error { return f.keepTraits(ctx) })
		f.tomb.Go(func() error { return f.keepSpending(ctx) })
		f.tomb.Go(func() error { return f.receivePeerMessages(ctx) })
		f.tomb.Go(func() error { return f.sendPeerMessages(ctx) })
		f.tomb.Go(func() error { return f.upgradeEngines(ctx) })
		f.tomb.Go(func() error { return every(ctx, engineFeedTick, f.followEngines(ctx)) })
		f.tomb.Go(func() error { return f.measureOwnDelay(ctx) })
		f.tomb.Go(func() error { return every(ctx, housekeepingInterval, f.runHousekeeping) })
		f.tomb.Go(func() error { return every(ctx, refusalReportInterval, f.memory.reportRefusals) })
		f.tomb.Go(func() error { return every(ctx, admission.Interval, f.controlAdmission) })
		f.tomb.Go(func() error { return every(ctx, dropReportInterval, f.reportDrops()) })
		return nil
	})
}

func serveHTTP(s *http.Server, ln net.Listener) error {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// Failed implements settings.Process.
func (f *Front) Failed() <-chan struct{} { return f.tomb.Dying() }

// Err implements settings.Process.
func (f *Front) Err() error {
	if err := f.tomb.Err(); !errors.Is(err, tomb.ErrStillAlive) {
		return err
	}
	return nil
}

// Reload reads the settings file again and puts it in force, except for the
// identity and the addresses of this process, which need a restart. An invalid
// file changes nothing.
func (f *Front) Reload() {
	s, err := platform.ReadSettings(f.cfg.SettingsPath)
	if err != nil {
		f.log.Error("settings not reloaded", "error", err.Error())
		return
	}
	old := *f.settings.Load()
	f.applySettings(s)
	f.log.Info("settings reloaded", "changed", s != old, "restart_needed", s.FixedSettings() != f.cfg.Settings.FixedSettings())
}

func (f *Front) handleMetrics(w http.ResponseWriter, _ bunrouter.Request) error {
	metrics.WritePrometheus(w, false)
	f.metrics.set.WritePrometheus(w)
	return nil
}

func (f *Front) handleReadiness(w http.ResponseWriter, _ bunrouter.Request) error {
	status := http.StatusServiceUnavailable
	if f.isReady() {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	return nil
}

func (f *Front) isReady() bool { return f.stop.Load() == nil && f.config.Load() != nil }

// every calls f at intervals until the context ends.
func every(ctx context.Context, interval time.Duration, f func(now proto.Instant)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f(driver.Now())
		}
	}
}

// runHousekeeping does the periodic work: it expires state and closes unused
// connections.
func (f *Front) runHousekeeping(now proto.Instant) {
	f.mu.Lock()
	if f.table.ApplyDueChanges(now) {
		f.publishEndpoints()
	}
	f.markSilentPeers(now)
	f.updateLimitSharers(now)
	f.expireLoading(now)
	known := f.knownAddrs()
	f.mu.Unlock()
	f.configureRetryBudgets(now)
	f.updateDomains(now)
	f.crashes.Expire(now)
	f.reportCrashChanges()
	f.client.CloseIdle(func(addr string) bool { return known[addr] })
}

// knownAddrs returns the addresses of the endpoints and stores that idle
// connections are kept to; mu must be held.
func (f *Front) knownAddrs() map[string]bool {
	known := map[string]bool{}
	for _, e := range f.table.Snapshot().ByID {
		if !f.isLeaving(e) {
			known[e.Addr] = true
		}
	}
	if cfg := f.config.Load(); cfg != nil {
		for _, s := range cfg.Services {
			if s.Store != nil {
				known[s.Store.Addr] = true
			}
		}
	}
	return known
}
