package e2e_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/cli"
)

// bound is the longest wait for a job in these tests.
const bound = 90 * time.Second

func await(t *testing.T, j *load.Job, id string) batch.Object {
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	ended, err := j.Await(ctx, load.NewClient(), id)
	require.NoError(t, err)
	return ended
}

func requireAllWhole(t *testing.T, s *load.Stats) {
	t.Helper()
	require.Positive(t, s.Whole)
	require.Equal(t, s.Sent, s.Whole, "refused %d, failed %d, wrong %d: %v", s.Refused, s.Failed, s.Wrong, s.Errors)
}

func TestWholePath(t *testing.T) {
	s := newSite(t, 3, 2)
	requireAllWhole(t, run(s.chat(40, s.hosts...), 2*time.Second))
	j := s.job(100, s.hosts[0])
	job, err := j.Submit(t.Context(), load.NewClient())
	require.NoError(t, err)
	ended := await(t, j, job.ID)
	require.Equal(t, batch.Counts{Total: 100, Completed: 100}, ended.RequestCounts)
	requireEachOnce(t, results(t, s.hosts[1].callers, ended.OutputFileID), 100)
}

func TestOnlineGoesOnWhileThePlatformIsFrozen(t *testing.T) {
	s := newSite(t, 2, 2)
	requireAllWhole(t, run(s.chat(20, s.hosts...), time.Second))
	s.platform.signal(syscall.SIGSTOP)
	requireAllWhole(t, run(s.chat(40, s.hosts...), 3*time.Second))
	s.platform.signal(syscall.SIGCONT)
	requireAllWhole(t, run(s.chat(20, s.hosts...), time.Second))
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	s := newSite(t, 3, 2)
	stats := load.NewStats()
	long := s.chat(30, s.hosts[0])
	long.Tokens = 300
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		long.Run(ctx, load.NewClient(), stats)
	}()
	time.Sleep(time.Second)
	s.hosts[0].signal(syscall.SIGTERM)
	require.Eventually(t, func() bool { return !ready(s.hosts[0]) }, 10*time.Second, time.Millisecond)
	stop()
	<-done
	requireAllWhole(t, stats)
	require.Equal(t, cli.ExitOK, s.hosts[0].wait())
}

func TestCheckStartsNothing(t *testing.T) {
	s := newSite(t, 1, 1)
	out, err := exec.Command(filepath.Join(binaries, "spindled"), "check", "-f", s.hosts[0].settings).CombinedOutput()
	require.NoError(t, err, "%s", out)
	second := start(t, "spindled", "-f", s.hosts[0].settings)
	require.Equal(t, cli.ExitUsage, second.wait())
	require.Regexp(t, `entry-1\.yaml:4: listen\.(callers|peers|operators): .*address already in use`, second.log.String())
	require.True(t, ready(s.hosts[0]))
}
