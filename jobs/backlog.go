package jobs

import (
	"context"

	"github.com/comfreyspindle/comfreyspindle/jobs/backlog"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// newLimiter returns the limiter of the tokens that wait on a route.
func (m *Manager) newLimiter() *backlog.Limiter {
	return backlog.NewLimiter(backlog.Options{
		Store: m.Store, Clock: m.Clock, Log: m.Log, Metrics: m.Metrics.backlog, Jobs: m.queueJobs, IsAccepted: m.isStored,
		Self: func() backlog.Host { return backlogHost(m.View.Self()) },
		Hosts: func() []backlog.Host {
			var hosts []backlog.Host
			for _, h := range membership.All(m.View) {
				if h.State == membership.Alive {
					hosts = append(hosts, backlogHost(h))
				}
			}
			return hosts
		},
	})
}

func backlogHost(h membership.Host) backlog.Host {
	return backlog.Host{Name: h.Name, Incarnation: h.Incarnation}
}

// backlogRequest returns the request to accept a job under the limit in force.
func (m *Manager) backlogRequest(s *Submission) backlog.Request {
	r := backlog.Request{JobID: s.ID, Queue: backlog.Queue{RouteHost: s.Host, RoutePrefix: s.Prefix, Customer: s.owner()}, Tokens: s.tokens()}
	table := m.Table()
	if table == nil {
		return r
	}
	if rt := table.Match(s.Host, s.Prefix); rt != nil {
		r.Limit, r.ConfigVersion = rt.MaxWaitingTokens, table.Version
	}
	return r
}

// queueJobs reads the jobs of a queue from their head records.
func (m *Manager) queueJobs(ctx context.Context, q backlog.Queue) ([]backlog.Job, error) {
	found, _, err := txn.List(ctx, m.Store, headPrefix)
	if err != nil {
		return nil, err
	}
	var jobs []backlog.Job
	for _, item := range found {
		head, err := decodeHead(item)
		if err != nil {
			m.Log.WithError(err).Warn("cannot decode head record of job; its tokens are not counted")
			continue
		}
		if head.RouteHost != q.RouteHost || head.RoutePrefix != q.RoutePrefix || q.Customer != "" && q.Customer != head.Customer {
			continue
		}
		j := backlog.Job{ID: head.ID, Created: head.created(), Finished: head.Tokens - head.WaitingTokens}
		if head.open() {
			j.Waiting = head.WaitingTokens
		}
		jobs = append(jobs, j)
	}
	return jobs, nil
}
