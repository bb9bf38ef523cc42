package suite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/bench/experiment"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

// batchWord begins the prompt of every batch item, so that an engine can tell
// batch items from online requests.
const batchWord = "batch"

// settle is the time that a fleet gets to fill connections and reports before
// a measurement.
const settle = 500 * time.Millisecond

// engineOptions shape an engine whose step time grows slowly with the running
// work, as decoding bound by memory bandwidth does.
func engineOptions(*service.Upstream) upstreamtest.Options {
	o := upstreamtest.DefaultOptions()
	o.MaxRunning = 32
	o.StepBase = 20 * time.Millisecond
	o.StepPerSequence = 60 * time.Microsecond
	o.PrefillPerToken = 40 * time.Microsecond
	return o
}

// user is one of the two example users.
type user struct {
	name    string
	text    []byte
	places  []fleet.Place
	chatKey string
	class   string
	jobKey  string
	model   string
}

// hostsPerPlace makes eight or nine entry hosts of three data centres.
const hostsPerPlace = 3

func kyushu() user {
	return user{
		name: "kyushu", text: examples.Kyushu, chatKey: examples.KeyCrews, class: "crew",
		jobKey: examples.KeyRouteDesk, model: "dispatch", places: []fleet.Place{
			{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: hostsPerPlace},
			{DataCentre: "kumamoto-kita", Region: "kumamoto", Hosts: hostsPerPlace},
			{DataCentre: "kagoshima-port", Region: "kagoshima", Hosts: hostsPerPlace},
		},
	}
}

func blueMountain() user {
	return user{
		name: "bluemountain", text: examples.BlueMountain, chatKey: examples.KeyMembers, class: "enquiry",
		jobKey: examples.KeyDesk, model: "desk", places: []fleet.Place{
			{DataCentre: "kingston-a", Region: "kingston", Hosts: hostsPerPlace},
			{DataCentre: "montego-a", Region: "montego", Hosts: hostsPerPlace},
			{DataCentre: "mandeville-a", Region: "mandeville", Hosts: hostsPerPlace},
		},
	}
}

// document parses the user's document.
func (u *user) document() *service.Document {
	d, err := service.Parse(u.name, u.text)
	if err != nil {
		panic(err)
	}
	return d
}

// onePlace narrows a user to the first data centre with the given number of
// hosts and replicas.
func (u *user) onePlace(hosts, replicas int) (user, *service.Document) {
	d := u.document()
	p := u.places[0]
	p.Hosts = hosts
	d.Upstreams = d.Upstreams[:replicas]
	for i := range d.Upstreams {
		d.Upstreams[i].DataCentre, d.Upstreams[i].Region = p.DataCentre, p.Region
	}
	narrow := *u
	narrow.places = []fleet.Place{p}
	return narrow, d
}

// system is a running fleet of one user.
type system struct {
	*fleet.Fleet
	user   user
	doc    *service.Document
	client *http.Client
}

// start starts the user's fleet.
func (u *user) start(spec fleet.Spec, d *service.Document) (*system, error) {
	spec.Places = u.places
	spec.Documents = []*service.Document{d}
	if spec.Engine == nil {
		spec.Engine = engineOptions
	}
	f, err := fleet.Start(spec)
	if err != nil {
		return nil, err
	}
	return &system{Fleet: f, user: *u, doc: d, client: load.NewClient()}, nil
}

func (s *system) close() {
	s.client.CloseIdleConnections()
	s.Close()
}

// targets returns the callers' addresses of all hosts.
func (s *system) targets() []string {
	var out []string
	for _, h := range s.Hosts {
		out = append(out, h.Node.CallersAddress())
	}
	return out
}

// engineTargets returns the addresses of all engines.
func (s *system) engineTargets() []string {
	var out []string
	for _, u := range s.doc.Upstreams {
		out = append(out, u.Address)
	}
	return out
}

// chat returns the user's online load.
func (s *system) chat(rate float64, seed uint64) *load.Chat {
	return &load.Chat{
		Targets: s.targets(), Key: s.user.chatKey, Model: s.user.model, Class: s.user.class,
		Rate: rate, Tokens: 16, PromptWords: 32, Seed: seed,
	}
}

// job returns a batch job of the user through the first host.
func (s *system) job(items int, seed uint64) *load.Job {
	return &load.Job{
		Target: s.Hosts[0].Node.CallersAddress(), Key: s.user.jobKey, Model: s.user.model,
		Items: items, Tokens: 32, Seed: seed, Word: batchWord,
	}
}

// run sends the load for d and returns its statistics.
func (s *system) run(ctx context.Context, c *load.Chat, d time.Duration) *load.Stats {
	stats := load.NewStats()
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	c.Run(ctx, s.client, stats)
	return stats
}

// generated returns the tokens that all engines have generated.
func (s *system) generated() int64 {
	var n int64
	for _, e := range s.Engines {
		n += e.Stats().Tokens
	}
	return n
}

// capacity measures the tokens a second of the engines without the system:
// closed-loop load straight to them, with every slot taken.
func (s *system) capacity(ctx context.Context, env *experiment.Env) float64 {
	c := s.chat(0, env.Seed+7)
	c.Targets = s.engineTargets()
	running := len(c.Targets) * engineOptions(nil).MaxRunning
	stats := load.NewStats()
	var group sync.WaitGroup
	group.Go(func() { s.closed(ctx, c, env.Duration(2*time.Second)+settle, stats, running) })
	time.Sleep(settle)
	begin, from := time.Now(), s.generated()
	time.Sleep(env.Duration(1500 * time.Millisecond))
	rate := float64(s.generated()-from) / time.Since(begin).Seconds()
	group.Wait()
	return rate
}

func (s *system) closed(ctx context.Context, c *load.Chat, d time.Duration, stats *load.Stats, running int) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	c.RunClosed(ctx, s.client, stats, running)
}

// batchRunning returns the batch items that all engines hold.
func (s *system) batchRunning() int {
	n := 0
	for _, e := range s.Engines {
		n += e.RunningWhere(batchWord)
	}
	return n
}

func say(env *experiment.Env, format string, args ...any) {
	fmt.Fprintf(env.Progress, format+"\n", args...)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// ratio divides, and returns 1 for two zeros.
func ratio(a, b float64) float64 {
	if a == b {
		return 1
	}
	return a / b
}

// p95 and p99 return percentiles of the first-token time in milliseconds.
func p95(s *load.Stats) float64 { return millis(load.Percentile(s.FirstToken, 95)) }
func p99(s *load.Stats) float64 { return millis(load.Percentile(s.FirstToken, 99)) }

// sharedPrefix returns prompts that begin with one of n long shared parts; the
// first is hot and takes the given part of all prompts.
func sharedPrefix(seed uint64, n, words int, hot float64) func(*rand.Rand) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	parts := make([]string, n)
	for i := range parts {
		parts[i] = load.Prompt(rng, words)
	}
	return func(rng *rand.Rand) string {
		i := 0
		if rng.Float64() >= hot {
			i = rng.IntN(n)
		}
		return parts[i] + " " + load.Prompt(rng, 8)
	}
}
