// Package upstreamtest holds stand-ins for a model engine and a plain service.
package upstreamtest

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Options shape a stand-in engine.
type Options struct {
	// Listen is the address to bind; empty takes a free port on loopback.
	Listen  string
	Model   string
	Version string
	// MaxRunning bounds the sequences in one step.
	MaxRunning int
	// StepBase is the time of a step with one sequence.
	StepBase time.Duration
	// StepPerSequence is added for each further running sequence.
	StepPerSequence time.Duration
	// PrefillPerToken is added for each prompt token that is not cached.
	PrefillPerToken time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of BlockTokens tokens.
	CacheBlocks int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// EventLag delays cache events; EventLoss drops one in so many.
	EventLag  time.Duration
	EventLoss int
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// LoadTime is the time that loading weights takes.
	LoadTime time.Duration
	// CrashMarker crashes the engine when a prompt holds it; empty is off.
	CrashMarker string
	// RestartTime is the time that the engine is away after a crash.
	RestartTime time.Duration
}

// DefaultOptions return an engine of the brief's size, for fast tests.
func DefaultOptions() Options {
	return Options{
		Model: "m", Version: "1", MaxRunning: 32,
		StepBase: 4 * time.Millisecond, StepPerSequence: 50 * time.Microsecond, PrefillPerToken: 10 * time.Microsecond,
		CacheBlocks: 1024, LoadLag: 50 * time.Millisecond, EventLag: 20 * time.Millisecond,
		LoadTime: 50 * time.Millisecond, RestartTime: 500 * time.Millisecond,
	}
}

// Engine is a stand-in for a model engine that batches continuously.
type Engine struct {
	opts Options
	srv  *httptest.Server

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	wake    chan struct{}
	stopped chan struct{}
	down    bool
	leaving bool
	runs    map[string]int
	order   upstream.OrderState
	orders  []upstream.Order
	reports []upstream.Load
	cache   *prefixCache

	asked    atomic.Int64
	tokens   atomic.Int64
	prefills atomic.Int64
	hits     atomic.Int64
	crashes  atomic.Int64
	resumes  atomic.Int64
}

// NewEngine starts an engine on loopback. The caller closes it.
func NewEngine(o Options) *Engine {
	e := &Engine{
		opts: o, wake: make(chan struct{}, 1), stopped: make(chan struct{}),
		runs: make(map[string]int), cache: newPrefixCache(o),
	}
	e.order.Model, e.order.Version = o.Model, o.Version
	e.srv = httptest.NewUnstartedServer(e.handler())
	if o.Listen != "" {
		e.srv.Listener = mustListen(o.Listen)
	}
	e.srv.Start()
	go e.loop()
	return e
}

func mustListen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	return l
}

// Address returns the engine's IP number and port.
func (e *Engine) Address() string { return e.srv.Listener.Addr().String() }

// Close stops the engine.
func (e *Engine) Close() {
	close(e.stopped)
	e.Kill()
	e.srv.CloseClientConnections()
	e.srv.Close()
}

// Kill ends all running work and refuses connections until Revive.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.down = true
	lost := slices.Concat(e.waiting, e.running)
	e.waiting, e.running = nil, nil
	e.cache.clear()
	e.mu.Unlock()
	for _, s := range lost {
		s.finish(errCrashed)
	}
	e.srv.CloseClientConnections()
}

// Revive takes requests again after Kill.
func (e *Engine) Revive() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

// SetLeaving makes the engine report that it leaves and refuse new work.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// Runs returns how often the request with the given id began to run.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TotalRuns returns the number of requests that began to run.
func (e *Engine) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, count := range e.runs {
		n += count
	}
	return n
}

// Stats are an engine's counters since its start.
type Stats struct {
	// Tokens were generated.
	Tokens int64
	// PrefillTokens were computed; CachedTokens came from the prefix cache.
	PrefillTokens int64
	CachedTokens  int64
	Crashes       int64
	// Resumes are runs that went on from tokens produced before.
	Resumes int64
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	return Stats{Tokens: e.tokens.Load(), PrefillTokens: e.prefills.Load(), CachedTokens: e.hits.Load(), Crashes: e.crashes.Load(), Resumes: e.resumes.Load()}
}

// Load returns the present load, without lag.
func (e *Engine) Load() upstream.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadNow()
}

func (e *Engine) loadNow() upstream.Load {
	return upstream.Load{
		At: time.Now(), Running: len(e.running), Waiting: len(e.waiting),
		TokenInterval: e.stepTime(len(e.running), 0), Leaving: e.leaving,
		Model: e.order.Model, Version: e.order.Version,
	}
}

// reported returns the newest reading that is at least LoadLag old.
func (e *Engine) reported() upstream.Load {
	limit := time.Now().Add(-e.opts.LoadLag)
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].At.Before(limit) {
			return e.reports[i]
		}
	}
	return upstream.Load{At: limit, Model: e.order.Model, Version: e.order.Version, Leaving: e.leaving}
}

// isDown reports whether the engine is killed.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// abort drops the connection of a request without an answer.
func abort(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
