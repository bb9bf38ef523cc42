package suite

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/comfreyspindle/comfreyspindle/bench/capacity"
	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// Slopes measures the costs from which package capacity works out a design
// size.
func Slopes(ctx context.Context, env *experiment.Env) (capacity.Slopes, error) {
	var s capacity.Slopes
	steps := []struct {
		name string
		run  func(context.Context, *experiment.Env, *capacity.Slopes) error
	}{
		{"idle hosts", idleSlopes},
		{"the hop", hopSlopes},
		{"running streams", heldSlope},
		{"documents", documentSlopes},
		{"choice of upstream", choiceSlope},
		{"time line", eventSlopes},
		{"ledger", claimSlopes},
		{"batch items", itemSlopes},
	}
	for _, step := range steps {
		say(env, "measuring %s", step.name)
		if err := step.run(ctx, env, &s); err != nil {
			return s, err
		}
	}
	return s, nil
}

// idleSlopes measures idle hosts of one data centre at several sizes.
func idleSlopes(_ context.Context, env *experiment.Env, s *capacity.Slopes) error {
	var cpu, memory, traffic, reads []capacity.Point
	for _, n := range []int{4, 8, 16, 32} {
		o, err := idleRun(env, n, env.Duration(5*time.Second))
		if err != nil {
			return err
		}
		x := float64(n)
		cpu = append(cpu, capacity.Point{N: x, Value: o.cpu})
		memory = append(memory, capacity.Point{N: x, Value: o.bytes})
		traffic = append(traffic, capacity.Point{N: x, Value: o.traffic})
		reads = append(reads, capacity.Point{N: x, Value: o.reads})
	}
	s.IdleCPU, s.IdleBytes = capacity.Fit(cpu), capacity.Fit(memory)
	s.IdleTraffic, s.IdleReads = capacity.Fit(traffic), capacity.Fit(reads)
	return nil
}

// idle is what one idle host spends, and the platform calls of all of them.
type idle struct {
	cpu     float64
	bytes   float64
	traffic float64
	reads   float64
}

// idleRun measures idle hosts of one data centre for the given time.
func idleRun(env *experiment.Env, hosts int, length time.Duration) (*idle, error) {
	u := kyushu()
	narrow, d := u.onePlace(hosts, 6)
	before := heapInUse()
	s, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	time.Sleep(env.Duration(3 * time.Second))
	cpu0, err := processorTime()
	if err != nil {
		return nil, err
	}
	calls, sent := s.Store.Calls("", ""), s.peerBytes()
	time.Sleep(length)
	cpu1, err := processorTime()
	if err != nil {
		return nil, err
	}
	n, seconds := float64(hosts), length.Seconds()
	return &idle{
		cpu: (cpu1 - cpu0).Seconds() / seconds / n, bytes: float64(heapInUse()-before) / n,
		traffic: (s.peerBytes() - sent) / seconds / n,
		reads:   float64(s.Store.Calls("", "")-calls)/seconds + float64(s.watches()),
	}, nil
}

// watches returns the watches that wait now, over all hosts.
func (s *system) watches() int {
	n := 0.0
	for _, h := range s.Hosts {
		n += gauge(h, "comfreyspindle_platform_watches_waiting")
	}
	return int(n)
}

// gauge returns a gauge of one host, summed over its labels.
func gauge(h *fleet.Host, name string) float64 {
	families, err := h.Node.Metrics().Gather()
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.GetMetric() {
				sum += m.GetGauge().GetValue()
			}
		}
	}
	return sum
}

// hopSlopes takes the hop's processor time from the overhead experiment.
func hopSlopes(ctx context.Context, env *experiment.Env, s *capacity.Slopes) error {
	figures, err := runOverhead(ctx, env)
	if err != nil {
		return err
	}
	s.RequestCPU = 1 / figures["requests_per_s_per_core"]
	s.TokenCPU = 1 / figures["tokens_per_s_per_core"]
	return nil
}

// heldSlope measures the memory of running streams, those of the load and of
// the engines included.
func heldSlope(ctx context.Context, env *experiment.Env, s *capacity.Slopes) error {
	u := kyushu()
	var points []capacity.Point
	for _, n := range []int{50, 200, 400} {
		narrow, d := u.onePlace(1, 4)
		d.Batch.Enabled = false
		d.Routing.Concurrency = 1000
		sys, err := narrow.start(fleet.Spec{}, d)
		if err != nil {
			return err
		}
		chat := sys.chat(0, env.Seed)
		chat.Tokens = 5000
		before := heapInUse()
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			chat.Hold(ctx, sys.client, n)
		}()
		time.Sleep(env.Duration(time.Second))
		points = append(points, capacity.Point{N: float64(n), Value: float64(heapInUse() - before)})
		cancel()
		<-done
		sys.close()
	}
	s.HeldBytes = max(0, capacity.Fit(points).Slope)
	return nil
}

// documentOf returns an example document with n upstreams.
func documentOf(n int) (*service.Document, []byte, error) {
	u := kyushu()
	d := u.document()
	base := d.Upstreams[0]
	d.Upstreams = nil
	for i := range n {
		base.Name = fmt.Sprintf("replica-%05d", i)
		base.Address = fmt.Sprintf("127.1.%d.%d:20000", i/250, i%250+1)
		d.Upstreams = append(d.Upstreams, base)
	}
	text, err := service.Marshal(d)
	return d, text, err
}

func documentSlopes(_ context.Context, _ *experiment.Env, s *capacity.Slopes) error {
	var bytes, cpu, memory []capacity.Point
	for _, n := range []int{50, 200, 600} {
		_, text, err := documentOf(n)
		if err != nil {
			return err
		}
		result := testing.Benchmark(func(b *testing.B) {
			for range b.N {
				if _, err := service.Parse("doc", text); err != nil {
					b.Fatal(err)
				}
			}
		})
		before := heapInUse()
		holder := config.NewHolder()
		d, err := service.Parse("doc", text)
		if err != nil {
			return err
		}
		d.Generation = 1
		holder.Apply(d)
		x := float64(n)
		memory = append(memory, capacity.Point{N: x, Value: float64(heapInUse() - before)})
		runtime.KeepAlive(holder)
		bytes = append(bytes, capacity.Point{N: x, Value: float64(len(text))})
		cpu = append(cpu, capacity.Point{N: x, Value: seconds(result)})
	}
	s.DocumentBytes, s.DocumentCPU, s.SnapshotBytes = capacity.Fit(bytes), capacity.Fit(cpu), capacity.Fit(memory)
	return authSlope(s)
}

func seconds(r testing.BenchmarkResult) float64 {
	return r.T.Seconds() / float64(max(1, r.N))
}

// authSlope measures the look-up of an API key among many callers.
func authSlope(s *capacity.Slopes) error {
	var points []capacity.Point
	for _, n := range []int{100, 1000, 7000} {
		u := kyushu()
		d := u.document()
		caller := d.Callers[0]
		for i := range n {
			caller.Name = fmt.Sprintf("caller-%d", i)
			caller.KeySHA256 = fmt.Sprintf("%064x", i)
			d.Callers = append(d.Callers, caller)
		}
		d.Generation = 1
		holder := config.NewHolder()
		holder.Apply(d)
		snapshot := holder.Current()
		result := testing.Benchmark(func(b *testing.B) {
			for range b.N {
				if _, ok := snapshot.Authenticate(u.chatKey); !ok {
					b.Fatal("key not found")
				}
			}
		})
		points = append(points, capacity.Point{N: float64(n), Value: seconds(result)})
	}
	s.AuthCPU = capacity.Fit(points)
	return nil
}

func choiceSlope(_ context.Context, env *experiment.Env, s *capacity.Slopes) error {
	var points []capacity.Point
	self := membership.Host{Name: "host-1", DataCentre: "fukuoka-hakata", Region: "fukuoka"}
	for _, n := range []int{10, 40, 160} {
		d, _, err := documentOf(n)
		if err != nil {
			return err
		}
		d.Generation = 1
		d.Routing.Subset = n
		b := routing.NewLoadAware(routing.Options{
			DataCentre: self.DataCentre, Region: self.Region, Hosts: membership.NewStatic(self),
			Upstreams: membership.NewLocalUpstreams(), CrossRegion: func(*service.Document) bool { return false },
			Clock: clockwork.NewRealClock(), Seed: env.Seed,
		})
		result := testing.Benchmark(func(bench *testing.B) {
			for range bench.N {
				c, err := b.Choose(routing.Request{Doc: d, Tokens: 100})
				if err != nil {
					bench.Fatal(err)
				}
				c.Done(routing.Outcome{})
			}
		})
		points = append(points, capacity.Point{N: float64(n), Value: seconds(result)})
	}
	s.ChoiceCPU = capacity.Fit(points)
	return nil
}

func eventSlopes(_ context.Context, _ *experiment.Env, s *capacity.Slopes) error {
	const events = 16384
	before := heapInUse()
	r := timeline.NewRecorder("host-1", timeline.NewClock(clockwork.NewRealClock()), events)
	result := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			r.Record(timeline.Event{Kind: "request.sent", Service: "dispatch-llm", Request: fmt.Sprintf("%026d", i), Upstream: "replica-1"})
		}
	})
	s.EventCPU = seconds(result)
	s.EventBytes = float64(heapInUse()-before) / events
	runtime.KeepAlive(r)
	return nil
}

// claimSlopes floods one ledger shard with claims.
func claimSlopes(ctx context.Context, env *experiment.Env, s *capacity.Slopes) error {
	u := kyushu()
	narrow, d := u.onePlace(3, 8)
	d.Batch.Enabled = false
	d.Once.Shards = 1
	sys, err := narrow.start(fleet.Spec{}, d)
	if err != nil {
		return err
	}
	defer sys.close()
	chat := sys.chat(400, env.Seed)
	chat.Once, chat.Tokens = true, 2
	sys.run(ctx, chat, settle)
	chat.Seed++
	length := env.Duration(4 * time.Second)
	from := sys.Store.Calls("", kvtest.OpPut)
	sys.run(ctx, chat, length)
	s.ClaimCalls = float64(sys.Store.Calls("", kvtest.OpPut)-from) / length.Seconds()
	return nil
}

// itemSlopes takes the calls and bytes an item from the batchcost experiment.
func itemSlopes(ctx context.Context, env *experiment.Env, s *capacity.Slopes) error {
	figures, err := runBatchCost(ctx, env)
	if err != nil {
		return err
	}
	s.ItemCalls, s.ItemBytes = figures["kv_calls_per_item"], figures["kv_bytes_per_item"]
	return nil
}
