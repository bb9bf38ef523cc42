package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const token = "secret"

// jobs is a fake batch API with one job, job-1, and a list of one job per caller.
type jobs struct {
	batch.API
	cancelled int
}

func (j *jobs) Job(_ context.Context, who config.Identity, id string) (batch.Job, error) {
	if id != "job-1" || !who.Operator {
		return batch.Job{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no job %s.", id)
	}
	return batch.Job{ID: id, Status: batch.StatusInProgress}, nil
}

func (j *jobs) Cancel(ctx context.Context, who config.Identity, id string) (batch.Job, error) {
	job, err := j.Job(ctx, who, id)
	if err == nil {
		j.cancelled++
		job.Status = batch.StatusCancelling
	}
	return job, err
}

func (j *jobs) List(_ context.Context, who config.Identity, _ string, _ int) ([]batch.Job, bool, error) {
	return []batch.Job{{ID: "job-of-" + who.Callers["dispatch-llm"]}}, false, nil
}

// host is the operators' API of one host on a test HTTP server.
type host struct {
	*admin.Server
	http *httptest.Server
	view *membership.Static
	jobs *jobs
}

// newHost starts a host whose fake clock is ahead by clockOffset.
func newHost(t *testing.T, name string, store *kvtest.Store, clockOffset time.Duration) *host {
	digest := sha256.Sum256([]byte(token))
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0).Add(clockOffset))
	h := &host{jobs: &jobs{}}
	registry := prometheus.NewRegistry()
	h.Server = &admin.Server{
		Config: config.NewHolder(), Editor: config.NewEditor(store, clock), Clock: clock, Jobs: h.jobs,
		Events: timeline.NewRecorder(name, timeline.NewClock(clock), 100), Metrics: registry, Costs: accounting.NewCounters(registry),
		Upstreams: func() []routing.Status {
			return []routing.Status{{Service: "s", Name: "u-" + name, State: membership.Leaving}}
		},
		Ready: func() admin.Readiness { return admin.Readiness{Ready: true} }, TokenSHA256: hex.EncodeToString(digest[:]),
	}
	h.http = httptest.NewServer(h.Handler())
	t.Cleanup(h.http.Close)
	h.view = membership.NewStatic(membership.Host{
		Name: name, DataCentre: "dc", OperatorsAddress: h.http.Listener.Addr().String(),
	})
	h.Hosts = h.view
	return h
}

// newHosts starts hosts that are in each other's membership view. Each clock is a
// minute ahead of the previous one.
func newHosts(t *testing.T, names ...string) []*host {
	store := kvtest.NewStore(clockwork.NewRealClock())
	var hosts []*host
	for i, name := range names {
		hosts = append(hosts, newHost(t, name, store, time.Duration(i)*time.Minute))
	}
	for _, h := range hosts {
		var others []membership.Host
		for _, o := range hosts {
			if o != h {
				others = append(others, o.view.Self())
			}
		}
		h.view.Set(others)
	}
	return hosts
}

// call sends a request with the operators' token, decodes the response into out
// unless it is nil, and returns the status.
func (h *host) call(t *testing.T, method, path, body string, out any) int {
	req, err := http.NewRequestWithContext(t.Context(), method, h.http.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	if out != nil {
		require.NoError(t, json.Unmarshal(text, out), "%s", text)
	}
	return res.StatusCode
}

func TestTimelineMergesEventsOfAllHosts(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	// Host a observes a stamp of c, and b one of a, so the events have a causal order
	// that the wall clocks contradict.
	hosts[1].Events.Record(timeline.Event{Request: "other"})
	hosts[2].Events.Record(timeline.Event{Request: "r", Kind: "1"})
	hosts[0].Events.Clock().Observe(hosts[2].Events.Clock().Now())
	hosts[0].Events.Record(timeline.Event{Request: "r", Kind: "2"})
	hosts[1].Events.Clock().Observe(hosts[0].Events.Clock().Now())
	hosts[1].Events.Record(timeline.Event{Request: "r", Kind: "3"})

	var story timeline.MergedTimeline
	require.Equal(t, 200, hosts[0].call(t, "GET", "/v1/timeline?request=r", "", &story))
	require.Equal(t, []timeline.Kind{"1", "2", "3"}, kinds(story.Events))
	require.Empty(t, story.Missing)

	// A query with the positions of the first response returns only newer events.
	hosts[2].Events.Record(timeline.Event{Request: "r", Kind: "4"})
	places, err := json.Marshal(story.Next)
	require.NoError(t, err)
	story = timeline.MergedTimeline{}
	hosts[0].call(t, "GET", "/v1/timeline?request=r&places="+string(places), "", &story)
	require.Equal(t, []timeline.Kind{"4"}, kinds(story.Events))
	require.Equal(t, 400, hosts[0].call(t, "GET", "/v1/timeline?since=yesterday", "", nil))
}

func kinds(events []timeline.Event) []timeline.Kind {
	var out []timeline.Kind
	for _, e := range events {
		out = append(out, e.Kind)
	}
	return out
}

// TestUnansweringHostsAreReportedAsMissing checks that an unreachable host, one that
// was removed from the membership view, and one without an operators' address are
// each reported with a reason.
func TestUnansweringHostsAreReportedAsMissing(t *testing.T) {
	hosts := newHosts(t, "a", "b", "c")
	hosts[0].call(t, "GET", "/v1/hosts", "", nil)
	hosts[1].http.Close()
	hosts[0].view.Set([]membership.Host{hosts[1].view.Self(), {Name: "d", DataCentre: "dc"}})

	var story timeline.MergedTimeline
	hosts[0].call(t, "GET", "/v1/timeline", "", &story)
	var names []string
	for _, m := range story.Missing {
		names = append(names, m.Host)
		require.NotEmpty(t, m.Reason)
	}
	require.Equal(t, []string{"b", "c", "d"}, names)

	var status []admin.HostStatus
	hosts[0].call(t, "GET", "/v1/hosts", "", &status)
	require.Len(t, status, 4)
	require.True(t, status[0].Ready)
	require.NotEmpty(t, status[1].Missing)
	var cost admin.Cost
	hosts[0].call(t, "GET", "/v1/cost", "", &cost)
	require.Len(t, cost.Missing, 3)
}

func TestExplain(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	hosts[1].Events.Record(timeline.Event{
		Request: "r", Kind: "request.sent", Upstream: "u1", Cause: routing.CauseTwoChoices,
		Scores: []timeline.Score{{Upstream: "u1", Score: 1}, {Upstream: "u2", Score: 2}},
	})
	var e admin.Explanation
	require.Equal(t, 200, hosts[0].call(t, "GET", "/v1/explain/r", "", &e))
	require.Len(t, e.Choices, 1)
	require.Equal(t, "u1", e.Choices[0].Upstream)
	require.Len(t, e.Choices[0].Scores, 2)
	require.Equal(t, 404, hosts[0].call(t, "GET", "/v1/explain/unknown", "", nil))
}

func TestCostIsSummedOverHosts(t *testing.T) {
	hosts := newHosts(t, "a", "b")
	hosts[0].Costs.Add("s", "c", accounting.AnswerTokens, "", 3)
	hosts[1].Costs.Add("s", "c", accounting.AnswerTokens, "", 4)
	var cost admin.Cost
	hosts[0].call(t, "GET", "/v1/cost", "", &cost)
	require.Len(t, cost.Rows, 1)
	require.EqualValues(t, 7, cost.Rows[0].Count)
	var ups admin.Upstreams
	hosts[0].call(t, "GET", "/v1/upstreams?service=s", "", &ups)
	require.Len(t, ups.Rows, 2)
	require.Equal(t, membership.Leaving, ups.Rows[0].State)
}

func TestJobs(t *testing.T) {
	h := newHosts(t, "a")[0]
	var job batch.Job
	require.Equal(t, 200, h.call(t, "POST", "/v1/jobs/job-1/cancel", "", &job))
	require.Equal(t, batch.StatusCancelling, job.Status)
	require.Equal(t, 1, h.jobs.cancelled)
	require.Equal(t, 404, h.call(t, "GET", "/v1/jobs/none", "", nil))
	require.Equal(t, 404, h.call(t, "GET", "/v1/jobs?service=none", "", nil))
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	doc.Generation = 1
	h.Config.Apply(doc)
	var list admin.Jobs
	require.Equal(t, 200, h.call(t, "GET", "/v1/jobs?service="+doc.Name, "", &list))
	require.Len(t, list.Jobs, len(doc.Callers))
}

func TestEditHistoryAndRollback(t *testing.T) {
	h := newHosts(t, "a")[0]
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	path := "/v1/services/" + doc.Name
	text := func() string {
		out, err := service.Marshal(doc)
		require.NoError(t, err)
		return string(out)
	}
	var applied admin.Applied
	require.Equal(t, 200, h.call(t, "PUT", path+"?by=ann", text(), &applied))
	require.EqualValues(t, 1, applied.Generation)
	all := doc.Upstreams
	doc.Upstreams = nil
	applied = admin.Applied{}
	require.Equal(t, 200, h.call(t, "PUT", path+"?dry_run=true&based_on=1", text(), &applied))
	require.True(t, applied.DryRun)
	require.NotEmpty(t, applied.Diff)
	require.Contains(t, applied.Warnings[0].Message, "last upstream")
	require.Equal(t, 400, h.call(t, "PUT", path+"?dry_run=true", "name: [", nil))
	require.Equal(t, 409, h.call(t, "PUT", path, text(), nil), "based on no generation")

	var history []admin.Generation
	require.Equal(t, 200, h.call(t, "GET", path+"/history", "", &history))
	require.Len(t, history, 1, "a dry run changes nothing")
	require.Equal(t, "ann", history[0].By)
	require.Equal(t, 200, h.call(t, "PUT", path+"?based_on=1", text(), nil))
	require.Equal(t, 409, h.call(t, "POST", path+"/rollback?to=1&based_on=1", "", nil))
	applied = admin.Applied{}
	require.Equal(t, 200, h.call(t, "POST", path+"/rollback?to=1&based_on=2", "", &applied))
	require.EqualValues(t, 3, applied.Generation, "a rollback is a new generation")
	h.call(t, "GET", path+"/history", "", &history)
	require.Equal(t, history[2].Text, history[0].Text)
	require.Contains(t, history[0].Text, all[0].Name)
	require.Equal(t, 404, h.call(t, "POST", path+"/rollback?to=9&based_on=3", "", nil))
	require.Equal(t, 404, h.call(t, "GET", "/v1/services/none/history", "", nil))
}

func TestTokenIsRequired(t *testing.T) {
	h := newHosts(t, "a")[0]
	for _, path := range []string{"/v1/hosts", "/v1/timeline", "/v1/cost", "/v1/upstreams", "/v1/jobs", "/v1/explain/r"} {
		res, err := http.Get(h.http.URL + path)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		require.Equal(t, http.StatusUnauthorized, res.StatusCode, path)
	}
}
