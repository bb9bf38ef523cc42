// Package demo starts a small fleet in one process and shows what a user would
// want to see: chat traffic with and without an evening batch.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/service"
)

// Options steer the demo.
type Options struct {
	// Duration is the length of each phase: chat alone, then chat with batch.
	Duration time.Duration
	// Items is the number of items of each user's batch.
	Items int
	// Keep leaves the fleet up until ctx ends.
	Keep bool
}

// user is one of the example users.
type user struct {
	name   string
	text   []byte
	places []fleet.Place
	chat   load.Chat
	job    load.Job
}

func users() []user {
	return []user{
		{
			name: "Kyushu", text: examples.Kyushu,
			places: []fleet.Place{
				{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: 1},
				{DataCentre: "kumamoto-kita", Region: "kumamoto", Hosts: 1},
				{DataCentre: "kagoshima-port", Region: "kagoshima", Hosts: 1},
			},
			chat: load.Chat{Key: examples.KeyCrews, Model: "dispatch", Class: "crew", Rate: 60, Tokens: 24, PromptWords: 48, Seed: 1},
			job:  load.Job{Key: examples.KeyRouteDesk, Model: "dispatch", Tokens: 32, Seed: 2},
		},
		{
			name: "Blue Mountain", text: examples.BlueMountain,
			places: []fleet.Place{
				{DataCentre: "kingston-a", Region: "kingston", Hosts: 1},
				{DataCentre: "montego-a", Region: "montego", Hosts: 1},
				{DataCentre: "mandeville-a", Region: "mandeville", Hosts: 1},
			},
			chat: load.Chat{Key: examples.KeyMembers, Model: "desk", Class: "enquiry", Rate: 40, Tokens: 24, PromptWords: 48, Seed: 3},
			job:  load.Job{Key: examples.KeyDesk, Model: "desk", Tokens: 32, Seed: 4},
		},
	}
}

// stage is one user's running fleet.
type stage struct {
	user   user
	fleet  *fleet.Fleet
	doc    *service.Document
	client *http.Client
	result result
}

// result is what one user saw.
type result struct {
	alone    *load.Stats
	together *load.Stats
	job      batch.Object
	took     time.Duration
}

// Run runs the demo and prints to out.
func Run(ctx context.Context, out io.Writer, o Options) error {
	var stages []*stage
	defer func() {
		for _, s := range stages {
			s.fleet.Close()
		}
	}()
	for _, u := range users() {
		s, err := newStage(u, o)
		if err != nil {
			return err
		}
		stages = append(stages, s)
		fmt.Fprintf(out, "%s: %d hosts in %d data centres, %d replicas of %s\n",
			u.name, len(s.fleet.Hosts), len(u.places), len(s.fleet.Engines), s.doc.Name)
	}
	if err := phases(ctx, out, o, stages); err != nil {
		return err
	}
	for _, s := range stages {
		s.print(out)
	}
	if !o.Keep {
		return nil
	}
	for _, s := range stages {
		printCurl(out, s.user)
	}
	fmt.Fprintln(out, "The fleets stay up until interrupted.")
	<-ctx.Done()
	return nil
}

func newStage(u user, o Options) (*stage, error) {
	doc, err := service.Parse(u.name, u.text)
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(fleet.Spec{Places: u.places, Documents: []*service.Document{doc}})
	if err != nil {
		return nil, err
	}
	for _, h := range f.Hosts {
		u.chat.Targets = append(u.chat.Targets, h.Node.CallersAddress())
	}
	u.job.Target, u.job.Items = u.chat.Targets[0], o.Items
	s := &stage{user: u, fleet: f, doc: doc, client: load.NewClient()}
	s.result = result{alone: load.NewStats(), together: load.NewStats()}
	return s, nil
}

// phases runs chat alone and then chat with a batch, for all users at once.
func phases(ctx context.Context, out io.Writer, o Options, stages []*stage) error {
	fmt.Fprintf(out, "\nchat alone for %s\n", o.Duration)
	each(stages, func(s *stage) { s.chat(ctx, o.Duration, s.result.alone) })
	fmt.Fprintf(out, "chat with an evening batch of %d items for each user\n", o.Items)
	begin := time.Now()
	for _, s := range stages {
		job, err := s.user.job.Submit(ctx, s.client)
		if err != nil {
			return err
		}
		s.result.job = job
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go progress(watching, out, stages)
	each(stages, func(s *stage) { s.chat(ctx, o.Duration, s.result.together) })
	for _, s := range stages {
		job, err := s.user.job.Await(ctx, s.client, s.result.job.ID)
		if err != nil {
			return err
		}
		s.result.job, s.result.took = job, time.Since(begin)
	}
	return nil
}

// each runs a function for all stages at once.
func each(stages []*stage, f func(*stage)) {
	var group sync.WaitGroup
	for _, s := range stages {
		group.Go(func() { f(s) })
	}
	group.Wait()
}

func (s *stage) chat(ctx context.Context, d time.Duration, stats *load.Stats) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	s.user.chat.Run(ctx, s.client, stats)
}

// progressInterval is the time between two lines of progress.
const progressInterval = time.Second

// progress prints how far the jobs are until ctx ends.
func progress(ctx context.Context, out io.Writer, stages []*stage) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, s := range stages {
			job, err := s.user.job.Get(ctx, s.client, s.result.job.ID)
			if err != nil {
				continue
			}
			fmt.Fprintf(out, "  %s: %d of %d items done\n", s.user.name, job.RequestCounts.Completed, job.RequestCounts.Total)
		}
	}
}

func (s *stage) print(out io.Writer) {
	fmt.Fprintf(out, "\n%s\n", s.user.name)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "online\twhole\trefused\tfailed\tfirst token p50\tp95\tp99")
	for _, row := range []struct {
		name  string
		stats *load.Stats
	}{{"alone", s.result.alone}, {"with batch", s.result.together}} {
		h := row.stats.FirstToken
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\n", row.name, row.stats.Whole, row.stats.Refused, row.stats.Failed+row.stats.Wrong,
			load.Percentile(h, 50), load.Percentile(h, 95), load.Percentile(h, 99))
	}
	_ = w.Flush()
	c := s.result.job.RequestCounts
	fmt.Fprintf(out, "batch: accepted %d, finished %d, failed %d in %s: %.0f items/s\n", c.Total, c.Completed, c.Failed,
		s.result.took.Round(time.Millisecond), float64(c.Completed)/s.result.took.Seconds())
	s.printCost(out)
}

// printCost adds up what the hosts have counted.
func (s *stage) printCost(out io.Writer) {
	sums := make(map[accounting.Kind]int64)
	for _, h := range s.fleet.Hosts {
		for _, e := range h.Node.Costs().Entries() {
			sums[e.Kind] += e.Count
		}
	}
	fmt.Fprintf(out, "cost: %d prompt and %d answer tokens, %d retries, %d wasted tokens, %d of %d cross-region bytes\n",
		sums[accounting.PromptTokens], sums[accounting.AnswerTokens], sums[accounting.Retries], sums[accounting.WastedTokens],
		sums[accounting.CrossRegionBytes], s.doc.Ceilings.CrossRegionBytes)
}

func printCurl(out io.Writer, u user) {
	body := fmt.Sprintf(`{"model":"%s","stream":true,"messages":[{"role":"user","content":"hello"}]}`, u.chat.Model)
	fmt.Fprintf(out, "\n%s, try:\n  curl -N -H 'Authorization: Bearer %s' -d '%s' http://%s/v1/chat/completions\n",
		u.name, u.chat.Key, body, u.chat.Targets[0])
}
