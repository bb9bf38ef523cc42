package e2e_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/bench/load"
)

// TestBatchOutlivesItsHosts breaks the host that accepted a job while the job
// runs; every item still has one result.
func TestBatchOutlivesItsHosts(t *testing.T) {
	const items = 1500
	rows := []struct {
		name  string
		fault func(s *site)
	}{
		{"accepting host killed", func(s *site) { s.hosts[0].signal(syscall.SIGKILL) }},
		{"two hosts killed", func(s *site) {
			s.hosts[0].signal(syscall.SIGKILL)
			s.hosts[1].signal(syscall.SIGKILL)
		}},
		{"host frozen past its lease, then woken", func(s *site) {
			s.hosts[0].signal(syscall.SIGSTOP)
			time.AfterFunc(25*time.Second, func() { s.hosts[0].signal(syscall.SIGCONT) })
		}},
		{"platform frozen for a while", func(s *site) {
			s.freezePlatform(4 * time.Second)
		}},
		{"planned stop", func(s *site) { s.hosts[0].signal(syscall.SIGTERM) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 4, 3)
			job, err := s.job(items, s.hosts[0]).Submit(t.Context(), load.NewClient())
			require.NoError(t, err)
			survivor := s.job(items, s.hosts[2])
			require.Eventually(t, func() bool {
				now, err := survivor.Get(t.Context(), load.NewClient(), job.ID)
				return err == nil && now.RequestCounts.Completed > 0
			}, 30*time.Second, 20*time.Millisecond)
			row.fault(s)
			ended := await(t, survivor, job.ID)
			require.Equal(t, batch.Counts{Total: items, Completed: items}, ended.RequestCounts)
			requireEachOnce(t, s.awaitResults(s.hosts[2].callers, ended.OutputFileID), items)
		})
	}
}

// TestResentJobIsTheSameJob sends a job again, to other hosts, also after the
// host that accepted it was lost just after its answer.
func TestResentJobIsTheSameJob(t *testing.T) {
	s := newSite(t, 2, 3)
	first := s.job(50, s.hosts[0])
	first.IdempotencyKey = "evening"
	job, err := first.Submit(t.Context(), load.NewClient())
	require.NoError(t, err)
	s.hosts[0].signal(syscall.SIGKILL)
	ids := make(chan string, 4)
	for i := range 4 {
		go func() {
			again := s.job(50, s.hosts[1+i%2])
			again.IdempotencyKey = "evening"
			same, err := again.Submit(t.Context(), load.NewClient())
			if err != nil {
				ids <- fmt.Sprint(err)
				return
			}
			ids <- same.ID
		}()
	}
	for range 4 {
		require.Equal(t, job.ID, <-ids)
	}
	ended := await(t, s.job(50, s.hosts[2]), job.ID)
	requireEachOnce(t, results(t, s.hosts[1].callers, ended.OutputFileID), 50)
}
