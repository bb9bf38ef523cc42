package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

func newHostsCommand(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "hosts", Short: "List the hosts and what they lack", Args: cobra.NoArgs, Example: "  spindlectl hosts",
		RunE: f.run(func(c *client, p *printer, _ []string) error {
			var all []admin.HostStatus
			if err := c.get("/v1/hosts", nil, &all); err != nil {
				return err
			}
			t := table{head: []string{"HOST", "DATA CENTRE", "REGION", "STATE", "READY", "OPERATORS", "LACKS"}}
			for _, h := range all {
				ready, lacks := fmt.Sprint(h.Ready), strings.Join(h.Lacks, "; ")
				if h.Missing != "" {
					ready, lacks = "unknown", h.Missing
				}
				t.add(h.Name, h.DataCentre, h.Region, h.State, ready, h.OperatorsAddress, lacks)
			}
			return p.print(all, &t)
		}),
	}
}

func newUpstreamsCommand(f *flags) *cobra.Command {
	var name string
	cmd := &cobra.Command{
		Use: "upstreams", Short: "List the upstreams as the hosts see them", Args: cobra.NoArgs,
		Example: "  spindlectl upstreams --service dispatch-llm",
		RunE: f.run(func(c *client, p *printer, _ []string) error {
			var all admin.Upstreams
			if err := c.get("/v1/upstreams", url.Values{"service": {name}}, &all); err != nil {
				return err
			}
			t := table{head: []string{"SERVICE", "UPSTREAM", "HOST", "STATE", "ONLINE", "BATCH", "RUNNING", "WAITING", "REPORT AGE"}}
			for _, u := range all.Rows {
				state := u.State.String()
				if u.Ejected {
					state += ", ejected"
				}
				running, waiting, age := "-", "-", "-"
				if u.Load != nil {
					running, waiting = fmt.Sprint(u.Load.Running), fmt.Sprint(u.Load.Waiting)
					age = (time.Duration(u.LoadAgeMS) * time.Millisecond).String()
				}
				t.add(u.Service, u.Name, u.Host, state, u.Online, u.Batch, running, waiting, age)
			}
			err := p.print(all, &t)
			p.noteMissing(all.Missing)
			return err
		}),
	}
	cmd.Flags().StringVar(&name, "service", "", "only this service")
	_ = cmd.RegisterFlagCompletionFunc("service", f.completeServices)
	return cmd
}

// noteMissing names the hosts whose part is not in an answer.
func (p *printer) noteMissing(missing []timeline.Missing) {
	for _, m := range missing {
		p.note("missing: %s: %s", m.Host, m.Reason)
	}
}

func newJobsCommand(f *flags) *cobra.Command {
	var name, caller string
	cmd := &cobra.Command{
		Use: "jobs", Short: "List the batch jobs of a service", Args: cobra.NoArgs,
		Example: "  spindlectl jobs --service dispatch-llm --caller route-desk",
		RunE: f.run(func(c *client, p *printer, _ []string) error {
			var all admin.Jobs
			if err := c.get("/v1/jobs", url.Values{"service": {name}, "caller": {caller}}, &all); err != nil {
				return err
			}
			err := p.print(all, jobTable(all.Jobs...))
			if all.More {
				p.note("there are older jobs")
			}
			return err
		}),
	}
	cmd.Flags().StringVar(&name, "service", "", "service, required")
	cmd.Flags().StringVar(&caller, "caller", "", "only this caller")
	_ = cmd.MarkFlagRequired("service")
	_ = cmd.RegisterFlagCompletionFunc("service", f.completeServices)
	return cmd
}

func jobTable(jobs ...batch.Job) *table {
	t := &table{head: []string{"JOB", "SERVICE", "CALLER", "STATUS", "DONE", "FAILED", "ITEMS", "DUE", "LATE"}}
	for _, j := range jobs {
		t.add(j.ID, j.Service, j.Caller, j.Status, j.Completed, j.Failed, j.Items, j.DueAt.Format(time.RFC3339), j.Late)
	}
	return t
}

func newJobCommand(f *flags) *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Work with one batch job"}
	one := func(method, suffix string) func(c *client, p *printer, args []string) error {
		return func(c *client, p *printer, args []string) error {
			text, err := c.do(call{method: method, path: "/v1/jobs/" + url.PathEscape(args[0]) + suffix})
			if err != nil {
				return err
			}
			var job batch.Job
			if err := json.Unmarshal(text, &job); err != nil {
				return err
			}
			return p.print(job, jobTable(job))
		}
	}
	cmd.AddCommand(
		&cobra.Command{
			Use: "get ID", Short: "Show a job", Args: cobra.ExactArgs(1), Example: "  spindlectl job get batch-1",
			RunE: f.run(one(http.MethodGet, "")),
		},
		&cobra.Command{
			Use: "cancel ID", Short: "Cancel a job", Args: cobra.ExactArgs(1), Example: "  spindlectl job cancel batch-1",
			Long: "Cancel a job. It is cancelling until every host has stopped it, and then cancelled.",
			RunE: f.run(one(http.MethodPost, "/cancel")),
		},
	)
	return cmd
}

func newCostCommand(f *flags) *cobra.Command {
	var by, name string
	cmd := &cobra.Command{
		Use: "cost", Short: "Add up costs against the documents' ceilings", Args: cobra.NoArgs,
		Long:    "Add up tokens, items, retries, wasted runs and cross-region bytes since the hosts started.",
		Example: "  spindlectl cost --service dispatch-llm --by caller",
		RunE: f.run(func(c *client, p *printer, _ []string) error {
			var all admin.Cost
			if err := c.get("/v1/cost", nil, &all); err != nil {
				return err
			}
			rows, err := sumCost(all.Rows, by, name)
			if err != nil {
				return err
			}
			t := table{head: []string{"SERVICE", strings.ToUpper(by), "KIND", "REASON", "COUNT", "CEILING", "USED"}}
			for _, r := range rows {
				t.add(r.Service, r.Group, r.Kind, r.Reason, r.Count, blank(r.Ceiling), used(r))
			}
			err = p.print(costReport{rows, all.Missing}, &t)
			p.noteMissing(all.Missing)
			return err
		}),
	}
	cmd.Flags().StringVar(&by, "by", "caller", "caller, data-centre or service")
	cmd.Flags().StringVar(&name, "service", "", "only this service")
	_ = cmd.RegisterFlagCompletionFunc("by", cobra.FixedCompletions(groups, cobra.ShellCompDirectiveNoFileComp))
	_ = cmd.RegisterFlagCompletionFunc("service", f.completeServices)
	return cmd
}
