package suite

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/upstream"
)

// Shape of the overhead runs.
const (
	overheadCores  = 4
	overheadTokens = 500
)

// overhead measures the hop's own cost against going straight to an upstream
// that answers at once.
func overhead() *experiment.Experiment {
	return &experiment.Experiment{
		Name: "overhead", Summary: "latency and processor time that the hop adds",
		Targets: map[string]experiment.Target{
			"added_ms_p50": atMost(0.3), "requests_per_s_4_cores": atLeast(5000), "tokens_per_s_4_cores": atLeast(200000),
		},
		Run: runOverhead,
	}
}

// instant is an upstream that answers without any work.
type instant struct {
	server *http.Server
	addr   string
	stream []byte
}

func newInstant() (*instant, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instant{addr: l.Addr().String()}
	i.stream = []byte(strings.Repeat(`data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word "}}]}`+"\n\n", overheadTokens))
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = i.server.Serve(l) }()
	return i, nil
}

const shortAnswer = `{"id":"x","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"word"},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`

// flushEvery is the number of events that the instant upstream sends at once.
const flushEvery = 10

func (i *instant) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(upstream.HeaderRequestID)
	w.Header().Set(upstream.HeaderRequestID, id)
	if !strings.Contains(string(body), `"stream":true`) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, shortAnswer)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	step := len(i.stream) / overheadTokens * flushEvery
	for at := 0; at < len(i.stream); at += step {
		_, _ = w.Write(i.stream[at:min(len(i.stream), at+step)])
		_ = flusher.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// hop is one way to the instant upstream: straight or through a host.
type hop struct {
	client *http.Client
	target string
	key    string
}

func (h *hop) do(ctx context.Context, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.target+upstream.PathChat, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+h.key)
	req.Header.Set("Content-Type", "application/json")
	res, err := h.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

func runOverhead(ctx context.Context, env *experiment.Env) (experiment.Figures, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(overheadCores))
	up, err := newInstant()
	if err != nil {
		return nil, err
	}
	defer func() { _ = up.server.Close() }()
	u := kyushu()
	narrow, d := u.onePlace(1, 1)
	d.Batch.Enabled = false
	d.Routing.Concurrency = 1000
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	d.Upstreams[0].Address = up.addr
	if err := s.Apply(ctx, d); err != nil {
		return nil, err
	}
	s.awaitGeneration(d.Generation, 10*time.Second)
	straight := &hop{client: s.client, target: up.addr}
	through := &hop{client: s.client, target: s.targets()[0], key: u.chatKey}
	short := string(load.ChatBody(u.model, "hello", 1, false))
	long := string(load.ChatBody(u.model, "hello", overheadTokens, true))
	out := experiment.Figures{}
	n := env.Count(4000)
	a, b := alternating(ctx, straight, through, short, n)
	out["straight_ms_p50"], out["through_ms_p50"] = millis(load.Percentile(a, 50)), millis(load.Percentile(b, 50))
	out["added_ms_p50"] = out["through_ms_p50"] - out["straight_ms_p50"]
	direct := flood(ctx, straight, short, env.Duration(3*time.Second))
	hopped := flood(ctx, through, short, env.Duration(4*time.Second))
	out["requests_per_s_4_cores"] = hopped.rate
	out["requests_of_straight"] = hopped.rate / direct.rate
	out["requests_per_s_per_core"] = 1 / (hopped.cpu - direct.cpu)
	directStream := flood(ctx, straight, long, env.Duration(3*time.Second))
	hoppedStream := flood(ctx, through, long, env.Duration(4*time.Second))
	out["tokens_per_s_4_cores"] = hoppedStream.rate * overheadTokens
	out["tokens_of_straight"] = hoppedStream.rate / directStream.rate
	out["tokens_per_s_per_core"] = overheadTokens / (hoppedStream.cpu - directStream.cpu)
	out["allocs_per_token"] = (hoppedStream.allocs - directStream.allocs) / overheadTokens
	say(env, "%.0f requests/s, %.0f tokens/s on %d cores, load and upstream included",
		out["requests_per_s_4_cores"], out["tokens_per_s_4_cores"], overheadCores)
	return out, nil
}

// alternating sends requests both ways in turn, so that both see the same
// machine.
func alternating(ctx context.Context, straight, through *hop, body string, n int) (a, b *hdrhistogram.Histogram) {
	a = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	b = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range n {
		for _, way := range []struct {
			hop  *hop
			hist *hdrhistogram.Histogram
		}{{straight, a}, {through, b}} {
			begin := time.Now()
			if way.hop.do(ctx, body) == nil {
				_ = way.hist.RecordValue(time.Since(begin).Microseconds())
			}
		}
	}
	return a, b
}

// flow is the cost of a flood: requests a second, and processor seconds and
// allocations a request.
type flow struct {
	rate   float64
	cpu    float64
	allocs float64
}

// flood sends requests from many workers for d.
func flood(ctx context.Context, h *hop, body string, d time.Duration) flow {
	const workers = 32
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var mu sync.Mutex
	done := 0
	var group sync.WaitGroup
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	cpu0, _ := processorTime()
	begin := time.Now()
	for range workers {
		group.Go(func() {
			n := 0
			for ctx.Err() == nil {
				if h.do(ctx, body) == nil {
					n++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			done += n
		})
	}
	group.Wait()
	elapsed := time.Since(begin)
	cpu1, _ := processorTime()
	runtime.ReadMemStats(&m1)
	n := float64(max(1, done))
	return flow{rate: n / elapsed.Seconds(), cpu: (cpu1 - cpu0).Seconds() / n, allocs: float64(m1.Mallocs-m0.Mallocs) / n}
}
