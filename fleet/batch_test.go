package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

// crashMarker in a prompt crashes the stand-in engine that runs it.
const crashMarker = "crash-the-engine"

// startBatch starts two hosts in one data centre with a few engines.
func startBatch(t *testing.T) *fleet.Fleet {
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	f, err := fleet.Start(fleet.Spec{
		Places:    []fleet.Place{{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: 2}},
		Documents: []*service.Document{doc},
		Engine: func(*service.Upstream) upstreamtest.Options {
			o := upstreamtest.DefaultOptions()
			o.CrashMarker, o.RestartTime = crashMarker, 50*time.Millisecond
			return o
		},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func jobOn(h *fleet.Host, items, tokens int) *load.Job {
	return &load.Job{
		Target: h.Node.CallersAddress(), Key: examples.KeyRouteDesk, Model: "dispatch",
		Items: items, Tokens: tokens, Seed: 1, Window: "1h",
	}
}

// postJob sends a request about a job and decodes the answer.
func postJob(t *testing.T, j *load.Job, path string) batch.Object {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+j.Target+path, http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+j.Key)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.Equal(t, http.StatusOK, res.StatusCode)
	var o batch.Object
	require.NoError(t, json.NewDecoder(res.Body).Decode(&o))
	return o
}

func running(f *fleet.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		l := e.Load()
		n += l.Running + l.Waiting
	}
	return n
}

func totalRuns(f *fleet.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		n += e.TotalRuns()
	}
	return n
}

// TestCancelStopsStreams cancels a job on another host than the one that took
// it: its streams end within a second, and nothing starts afterwards.
func TestCancelStopsStreams(t *testing.T) {
	f := startBatch(t)
	ctx := context.Background()
	j := jobOn(f.Hosts[0], 400, 5000)
	job, err := j.Submit(ctx, http.DefaultClient)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return running(f) > 5 }, 20*time.Second, time.Millisecond)
	other := jobOn(f.Hosts[1], 0, 0)
	asked := time.Now()
	cancelled := postJob(t, other, "/v1/batches/"+job.ID+"/cancel")
	require.Contains(t, []batch.Status{batch.StatusCancelling, batch.StatusCancelled}, cancelled.Status)
	require.Eventually(t, func() bool { return running(f) == 0 }, 20*time.Second, time.Millisecond)
	t.Logf("streams ended %s after the cancellation was asked", time.Since(asked).Round(time.Millisecond))
	require.Eventually(t, func() bool {
		job, err = j.Get(ctx, http.DefaultClient, job.ID)
		return err == nil && job.Status == batch.StatusCancelled
	}, 20*time.Second, 10*time.Millisecond)
	runs := totalRuns(f)
	require.Never(t, func() bool { return totalRuns(f) > runs }, 500*time.Millisecond, 20*time.Millisecond)
}

// TestCrashingItemIsOwedAndHarmsNoOther runs a job in which one item crashes each
// engine that runs it. Replicas crash by themselves too, so the item stays owed; the
// others have their answers, and few engines crash.
func TestCrashingItemIsOwedAndHarmsNoOther(t *testing.T) {
	const maxCrashes = 8
	f := startBatch(t)
	ctx := context.Background()
	j := jobOn(f.Hosts[0], 60, 8)
	text := bytes.Replace(j.Lines(), []byte(`"content":"`), []byte(`"content":"`+crashMarker+` `), 1)
	job, err := j.SubmitLines(ctx, http.DefaultClient, text)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		job, err = j.Get(ctx, http.DefaultClient, job.ID)
		return err == nil && job.RequestCounts.Completed == 59
	}, time.Minute, 50*time.Millisecond, "its neighbours are unharmed")
	require.Zero(t, job.RequestCounts.Failed)
	require.Equal(t, batch.StatusInProgress, job.Status)
	var crashes int
	for _, e := range f.Engines {
		crashes += int(e.Stats().Crashes)
	}
	require.LessOrEqual(t, crashes, maxCrashes)
	postJob(t, j, "/v1/batches/"+job.ID+"/cancel")
	require.Eventually(t, func() bool {
		job, err = j.Get(ctx, http.DefaultClient, job.ID)
		return err == nil && job.Status == batch.StatusCancelled
	}, time.Minute, 50*time.Millisecond, "a job with such an item can be ended")
}

func content(t *testing.T, j *load.Job, file string) string {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+j.Target+"/v1/files/"+file+"/content?order=input", http.NoBody)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+j.Key)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	var out bytes.Buffer
	_, err = out.ReadFrom(res.Body)
	require.NoError(t, err)
	return out.String()
}

// TestStoppedHostHandsOver stops the host that runs a job; the other ends it,
// and each answer is whole and in the order of the input.
func TestStoppedHostHandsOver(t *testing.T) {
	f := startBatch(t)
	ctx := context.Background()
	j := jobOn(f.Hosts[0], 300, 40)
	job, err := j.Submit(ctx, http.DefaultClient)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return totalRuns(f) > 30 }, 20*time.Second, time.Millisecond)
	require.NoError(t, f.Hosts[0].Node.Stop(ctx))
	j.Target = f.Hosts[1].Node.CallersAddress()
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	job, err = j.Await(ctx, http.DefaultClient, job.ID)
	require.NoError(t, err)
	require.Equal(t, 300, job.RequestCounts.Completed)
	lines := strings.Split(strings.TrimSpace(content(t, j, job.OutputFileID)), "\n")
	require.Len(t, lines, 300)
	inputs := strings.Split(strings.TrimSpace(string(j.Lines())), "\n")
	for i, line := range lines {
		var in batch.Item
		var out batch.Result
		require.NoError(t, json.Unmarshal([]byte(inputs[i]), &in))
		require.NoError(t, json.Unmarshal([]byte(line), &out))
		require.Equal(t, in.CustomID, out.CustomID)
		require.Contains(t, string(out.Response.Body), strings.TrimSpace(upstreamtest.Answer(upstreamtest.Prompt(in.Body), 40)))
	}
}
