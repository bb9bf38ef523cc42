// Package demo starts a small fleet in one process and shows what a user would
// want to see: chat traffic with and without an evening batch.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

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

// result is what one user saw.
type result struct {
	alone    *load.Stats
	together *load.Stats
	job      batch.Object
	took     time.Duration
}

// Run runs the demo and prints to out.
func Run(ctx context.Context, out io.Writer, o Options) error {
	for _, u := range users() {
		if err := runUser(ctx, out, o, u); err != nil {
			return err
		}
	}
	return nil
}

func runUser(ctx context.Context, out io.Writer, o Options, u user) error {
	doc, err := service.Parse(u.name, u.text)
	if err != nil {
		return err
	}
	f, err := fleet.Start(fleet.Spec{Places: u.places, Documents: []*service.Document{doc}})
	if err != nil {
		return err
	}
	defer f.Close()
	for _, h := range f.Hosts {
		u.chat.Targets = append(u.chat.Targets, h.Node.CallersAddress())
	}
	u.job.Target, u.job.Items = u.chat.Targets[0], o.Items
	fmt.Fprintf(out, "%s: %d hosts in %d data centres, %d replicas of %s\n", u.name, len(f.Hosts), len(u.places), len(f.Engines), doc.Name)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	r, err := phases(ctx, out, client, o, u)
	if err != nil {
		return err
	}
	r.print(out)
	if o.Keep {
		printCurl(out, u)
		<-ctx.Done()
	}
	return nil
}

func phases(ctx context.Context, out io.Writer, client *http.Client, o Options, u user) (*result, error) {
	r := &result{alone: load.NewStats(), together: load.NewStats()}
	fmt.Fprintf(out, "  chat alone for %s\n", o.Duration)
	phase(ctx, o.Duration, func(ctx context.Context) { u.chat.Run(ctx, client, r.alone) })
	fmt.Fprintf(out, "  chat with an evening batch of %d items\n", o.Items)
	begin := time.Now()
	job, err := u.job.Submit(ctx, client)
	if err != nil {
		return nil, err
	}
	phase(ctx, o.Duration, func(ctx context.Context) { u.chat.Run(ctx, client, r.together) })
	r.job, err = u.job.Await(ctx, client, job.ID)
	r.took = time.Since(begin)
	return r, err
}

func phase(ctx context.Context, d time.Duration, run func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	run(ctx)
}

func (r *result) print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "  online\twhole\tfailed\tfirst token p50\tp95\tp99")
	for _, row := range []struct {
		name  string
		stats *load.Stats
	}{{"alone", r.alone}, {"with batch", r.together}} {
		h := row.stats.FirstToken
		fmt.Fprintf(w, "  %s\t%d\t%d\t%s\t%s\t%s\n", row.name, row.stats.Whole, row.stats.Failed,
			load.Percentile(h, 50), load.Percentile(h, 95), load.Percentile(h, 99))
	}
	_ = w.Flush()
	c := r.job.RequestCounts
	fmt.Fprintf(out, "  batch: accepted %d, finished %d, failed %d, in %s\n", c.Total, c.Completed, c.Failed, r.took.Round(time.Millisecond))
}

func printCurl(out io.Writer, u user) {
	fmt.Fprintf(out, `  try:
    curl -H 'Authorization: Bearer %s' -d '{"model":"%s","stream":true,"messages":[{"role":"user","content":"hello"}]}' http://%s/v1/chat/completions
  interrupt to go on
`, u.chat.Key, u.chat.Model, u.chat.Targets[0])
}
