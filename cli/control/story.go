package control

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// followTime is the time between two reads of --follow.
const followTime = time.Second

// follower reads the time line.
type follower struct {
	request, job, host, since string
	limit                     int
	follow                    bool
}

func newTimelineCommand(f *flags) *cobra.Command {
	o := &follower{}
	cmd := &cobra.Command{
		Use: "timeline", Short: "Show the events of all hosts in causal order", Args: cobra.NoArgs,
		Example: "  spindlectl timeline --job batch-1 --since 10m\n  spindlectl timeline --follow",
		RunE:    f.run(o.run),
	}
	cmd.Flags().StringVar(&o.request, "request", "", "only this request")
	cmd.Flags().StringVar(&o.job, "job", "", "only this batch job")
	cmd.Flags().StringVar(&o.host, "host", "", "only this host")
	cmd.Flags().StringVar(&o.since, "since", "", "only events since then: an age such as 10m, or a time as in RFC 3339")
	cmd.Flags().IntVar(&o.limit, "limit", 1000, "newest events to show")
	cmd.Flags().BoolVar(&o.follow, "follow", false, "go on with new events until interrupted")
	return cmd
}

func (o *follower) run(c *client, p *printer, _ []string) error {
	since, err := sinceTime(o.since, time.Now())
	if err != nil {
		return err
	}
	query := url.Values{
		"request": {o.request}, "job": {o.job}, "host": {o.host}, "since": {since}, "limit": {strconv.Itoa(o.limit)},
	}
	away := make(map[string]string)
	for {
		var story timeline.MergedTimeline
		if err := c.get("/v1/timeline", query, &story); err != nil {
			return err
		}
		if !o.follow && p.format != "table" {
			return p.print(story, nil)
		}
		if err := printStory(p, &story, away); err != nil || !o.follow {
			return err
		}
		places, err := json.Marshal(story.Next)
		if err != nil {
			return err
		}
		query.Set("places", string(places))
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(followTime):
		}
	}
}

// sinceTime returns the time that a flag names by age or by time.
func sinceTime(text string, now time.Time) (string, error) {
	if text == "" {
		return "", nil
	}
	if age, err := time.ParseDuration(text); err == nil {
		return now.Add(-age).Format(time.RFC3339Nano), nil
	}
	if _, err := time.Parse(time.RFC3339Nano, text); err != nil {
		return "", cli.WithCode(errors.Newf("--since is %q; give an age such as 10m, or a time as in RFC 3339", text), cli.ExitUsage)
	}
	return text, nil
}

// printStory prints events, one a line, and hosts that went away since the
// last time.
func printStory(p *printer, s *timeline.MergedTimeline, away map[string]string) error {
	if s.Cut > 0 {
		p.note("%d older events left out; see --limit", s.Cut)
	}
	for host, n := range s.Lost {
		p.note("%s: %d events were overwritten before they were read", host, n)
	}
	for i := range s.Events {
		if err := printEvent(p, &s.Events[i]); err != nil {
			return err
		}
	}
	now := make(map[string]bool)
	for _, m := range s.Missing {
		now[m.Host] = true
		if away[m.Host] != m.Reason {
			p.note("missing: %s: %s", m.Host, m.Reason)
			away[m.Host] = m.Reason
		}
	}
	for host := range away {
		if !now[host] {
			p.note("back: %s", host)
			delete(away, host)
		}
	}
	return nil
}

func printEvent(p *printer, e *timeline.Event) error {
	if p.format == "json" {
		return json.NewEncoder(p.w).Encode(e)
	}
	parts := []string{e.Stamp.Time().UTC().Format("2006-01-02T15:04:05.000Z"), e.Host, string(e.Kind)}
	for _, part := range []struct{ name, value string }{
		{"service", e.Service}, {"request", e.Request}, {"job", e.Job}, {"upstream", e.Upstream}, {"cause", e.Cause},
	} {
		if part.value != "" {
			parts = append(parts, part.name+"="+quoted(part.value))
		}
	}
	_, err := fmt.Fprintln(p.w, strings.Join(parts, " "))
	return err
}

func quoted(s string) string {
	if strings.ContainsAny(s, " \"\n") {
		return strconv.Quote(s)
	}
	return s
}

func newExplainCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "explain REQUEST", Short: "Tell why a request went where it went", Args: cobra.ExactArgs(1),
		Long:    "Tell why a request went where it went, with the scores of the alternatives; lower is better.",
		Example: "  spindlectl explain 01JD...",
		RunE: f.run(func(c *client, p *printer, args []string) error {
			var e admin.Explanation
			if err := c.get("/v1/explain/"+url.PathEscape(args[0]), nil, &e); err != nil {
				return err
			}
			if p.format != "table" {
				return p.print(e, nil)
			}
			for i, choice := range e.Choices {
				fmt.Fprintf(p.w, "try %d: %s chose %s: %s\n", i+1, choice.Host, choice.Upstream, choice.Cause)
				t := table{head: []string{"UPSTREAM", "SCORE", ""}}
				for _, s := range choice.Scores {
					mark := ""
					if s.Upstream == choice.Upstream {
						mark = "chosen"
					}
					t.add(s.Upstream, fmt.Sprintf("%.1f", s.Score), mark)
				}
				if err := t.write(p.w, p.width); err != nil {
					return err
				}
				fmt.Fprintln(p.w)
			}
			return printStory(p, e.Story, make(map[string]string))
		}),
	}
}
