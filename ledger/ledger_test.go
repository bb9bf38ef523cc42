package ledger_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
	"github.com/comfreyspindle/comfreyspindle/ledger"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const day = 24 * time.Hour

// TestConcurrentClaimsHaveOneWinner claims keys on all hosts of two data
// centres at once, and one of them again an hour later. Each key has one
// winner.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		c.store.AddFault(kvtest.Fault{Delay: 3 * time.Millisecond})
		const keys = 20
		won := make([]atomic.Int64, keys)
		var wg sync.WaitGroup
		for k := range keys {
			for i := range 3 * len(hostNames) {
				wg.Go(func() {
					claim, err := c.claim(hostNames[i%len(hostNames)], fmt.Sprint(k), fmt.Sprint(k, i))
					require.NoError(t, err)
					if claim.Won {
						won[k].Add(1)
					}
				})
			}
		}
		wg.Wait()
		for k := range keys {
			require.EqualValues(t, 1, won[k].Load(), "key %d", k)
		}
		time.Sleep(time.Hour)
		for _, host := range hostNames {
			claim, err := c.claim(host, "0", "later")
			require.NoError(t, err)
			require.False(t, claim.Won)
			require.NotEmpty(t, claim.Host)
			require.NotEmpty(t, claim.RequestID)
		}
	})
}

// TestFaultAtEachStepSendsRequestOnce makes one step of the first claim of a
// key fail. At most one request with the key is sent, and after the fault a
// repeat on the same host is sent if the first request was not.
func TestFaultAtEachStepSendsRequestOnce(t *testing.T) {
	steps := []struct {
		name   string
		op     kvtest.Op
		prefix string
	}{
		{"layout read", kvtest.OpGet, "ledger/s/layout"},
		{"layout created", kvtest.OpPut, "ledger/s/layout"},
		{"head read", kvtest.OpGet, "ledger/s/0"},
		{"head swapped", kvtest.OpPut, "ledger/s/0"},
	}
	faults := []struct {
		name  string
		fault kvtest.Fault
	}{
		{"refused", kvtest.Fault{Err: kv.ErrUnreachable}},
		{"limited", kvtest.Fault{Err: kv.ErrLimited}},
		{"request lost", kvtest.Fault{LoseRequest: true}},
		{"reply lost", kvtest.Fault{LoseReply: true}},
		{"late", kvtest.Fault{Late: true}},
		{"slow", kvtest.Fault{Delay: 3 * time.Second}},
	}
	for _, step := range steps {
		for _, row := range faults {
			for _, times := range []int{1, 0} {
				t.Run(fmt.Sprintf("%s/%s/%d", step.name, row.name, times), func(t *testing.T) {
					f := row.fault
					f.Op, f.Prefix, f.Times = step.op, step.prefix, times
					synctest.Test(t, func(t *testing.T) { checkRepeatAfterFault(t, f) })
				})
			}
		}
	}
}

func checkRepeatAfterFault(t *testing.T, f kvtest.Fault) {
	c := newCluster(t, 1, day)
	clearFault := c.store.AddFault(f)
	sent := 0
	claim, err := c.claim("a1", "k", "first")
	if err != nil {
		requireNotRun(t, err)
	} else if claim.Won {
		sent++
	}
	clearFault()
	time.Sleep(10 * time.Second)
	c.store.ReleaseLate()
	claim, err = c.claim("a1", "k", "repeat")
	require.NoError(t, err)
	if claim.Won {
		sent++
	}
	require.Equal(t, 1, sent, "after the fault the repeat runs if the first request did not")
	time.Sleep(10 * time.Second)
	for _, host := range hostNames {
		claim, err := c.claim(host, "k", "other")
		require.NoError(t, err)
		require.False(t, claim.Won, "sent again by %s", host)
	}
}

func TestStoreOutageRefusesClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		claim, err := c.claim("a1", "known", "first")
		require.NoError(t, err)
		require.True(t, claim.Won)
		c.store.SetOutage(true)
		for i := range 20 {
			start := time.Now()
			_, err := c.claim("a1", fmt.Sprint(i), "r")
			requireNotRun(t, err)
			require.Less(t, time.Since(start), 251*time.Millisecond)
		}
		claim, err = c.claim(c.writer("a"), "known", "repeat")
		require.NoError(t, err, "the writer must report the claim while the store is unavailable")
		require.False(t, claim.Won)
		c.store.SetOutage(false)
		time.Sleep(10 * time.Second)
		claim, err = c.claim("a1", "0", "again")
		require.NoError(t, err)
		require.True(t, claim.Won, "a claim refused before must not hold the key")
	})
}

// TestPausedWriterLosesClaim pauses the writer of one data centre just before
// its swap, while the other data centre claims the key. The paused writer's
// swap then fails, and its claim does not win.
func TestPausedWriterLosesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		writer := c.writer("a")
		_, err := c.claim(writer, "warm", "w")
		require.NoError(t, err)
		gate := make(chan struct{})
		c.store.AddFault(kvtest.Fault{Host: writer, Op: kvtest.OpPut, Gate: gate, Times: 1})
		type result struct {
			claim ledger.Claim
			err   error
		}
		resumed := make(chan result, 1)
		go func() {
			claim, err := c.claim(writer, "k", "paused")
			resumed <- result{claim, err}
		}()
		time.Sleep(time.Second)
		claim, err := c.claim(c.writer("b"), "k", "meanwhile")
		require.NoError(t, err)
		require.True(t, claim.Won)
		close(gate)
		r := <-resumed
		require.NoError(t, r.err)
		require.False(t, r.claim.Won)
		require.Equal(t, "meanwhile", r.claim.RequestID)
	})
}

// TestHostWritesClaimItselfWhenWriterUnreachable cuts off the shard's writer
// from its peers or from the store. The host writes the claim itself, and the
// key is still claimed once.
func TestHostWritesClaimItselfWhenWriterUnreachable(t *testing.T) {
	rows := []struct {
		name     string
		setFault func(c *cluster)
	}{
		{"link down", func(c *cluster) { c.net.setFault(c.writer("a"), linkDown) }},
		{"link loses replies", func(c *cluster) { c.net.setFault(c.writer("a"), linkLosesReplies) }},
		{"writer can't reach the store", func(c *cluster) { c.store.SetCut(c.writer("a"), kvtest.CutRequests) }},
		{"store's replies to the writer lost", func(c *cluster) { c.store.SetCut(c.writer("a"), kvtest.CutReplies) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, day)
				row.setFault(c)
				claim, err := c.claim(c.nonWriter("a"), "k", "r")
				require.NoError(t, err)
				require.True(t, claim.Won)
				claim, err = c.claim(c.nonWriter("b"), "k", "r2")
				require.NoError(t, err)
				require.False(t, claim.Won)
			})
		})
	}
}

// TestClaimOfUnreachableHostIsHeld repeats a key whose host became unreachable
// after its claim. Whether it sent the request is not known, so the claim stays
// held.
func TestClaimOfUnreachableHostIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		_, err := c.claim("a2", "k", "lost")
		require.NoError(t, err)
		c.net.setFault("a2", linkDown)
		for _, host := range []string{"a1", "b1"} {
			claim, err := c.claim(host, "k", "repeat")
			require.NoError(t, err)
			require.False(t, claim.Won)
			require.Equal(t, "lost", claim.RequestID)
			require.Equal(t, "a2", claim.Host)
		}
	})
}

// TestSettleDecidesAnswerToRepeat settles a claim with each verdict. A repeat
// wins after NotRun, sees that the request ran after Ran, and is only refused
// after MayHaveRun.
func TestSettleDecidesAnswerToRepeat(t *testing.T) {
	rows := []struct {
		verdict verdict.Verdict
		won     bool
		ran     bool
	}{
		{verdict.NotRun, true, false},
		{verdict.Ran, false, true},
		{verdict.MayHaveRun, false, false},
	}
	for _, row := range rows {
		t.Run(row.verdict.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, day)
				first, err := c.claim("a1", "k", "first")
				require.NoError(t, err)
				c.hosts["a1"].Settle(c.doc, first, row.verdict)
				time.Sleep(5 * time.Second)
				claim, err := c.claim("b1", "k", "repeat")
				require.NoError(t, err)
				require.Equal(t, row.won, claim.Won)
				require.Equal(t, row.ran, claim.Ran)
			})
		})
	}
}

// TestUnsentClaimIsTakenOverOnlyByItsHost settles a claim as not run while
// settlements are lost. A repeat on another host is refused; one on the same
// host replaces the claim.
func TestUnsentClaimIsTakenOverOnlyByItsHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		c.net.dropSettlements = true
		host := c.nonWriter("a")
		first, err := c.claim(host, "k", "first")
		require.NoError(t, err)
		c.hosts[host].Settle(c.doc, first, verdict.NotRun)
		time.Sleep(5 * time.Second)
		claim, err := c.claim("b1", "k", "elsewhere")
		require.NoError(t, err)
		require.False(t, claim.Won, "only the host of the claim knows that its request was not sent")
		claim, err = c.claim(host, "k", "repeat")
		require.NoError(t, err)
		require.True(t, claim.Won)
	})
}

// TestLateSettlementKeepsRepeatsClaim delivers the settlement of a claim after
// a repeat replaced the claim. The repeat's claim stays.
func TestLateSettlementKeepsRepeatsClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		first, err := c.claim("a1", "k", "first")
		require.NoError(t, err)
		c.hosts["a1"].Settle(c.doc, first, verdict.NotRun)
		claim, err := c.claim("a1", "k", "repeat")
		require.NoError(t, err)
		require.True(t, claim.Won)
		c.hosts["a1"].Settle(c.doc, first, verdict.NotRun)
		time.Sleep(10 * time.Second)
		claim, err = c.claim("b1", "k", "later")
		require.NoError(t, err)
		require.False(t, claim.Won)
	})
}

// TestRepeatWinsAfterWriterRecordedRefusedClaim lets the writer record a claim
// that its host has refused, since neither the writer nor the store answered
// the host. The request was not sent, so a repeat wins.
func TestRepeatWinsAfterWriterRecordedRefusedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		host := c.nonWriter("a")
		_, err := c.claim(host, "warm", "w")
		require.NoError(t, err)
		c.net.setFault(c.writer("a"), linkLosesReplies)
		clearFault := c.store.AddFault(kvtest.Fault{Host: host, Err: kv.ErrUnreachable})
		_, err = c.claim(host, "k", "first")
		requireNotRun(t, err)
		clearFault()
		c.net.setFault(c.writer("a"), linkUp)
		time.Sleep(10 * time.Second)
		claim, err := c.claim(host, "k", "repeat")
		require.NoError(t, err)
		require.True(t, claim.Won)
	})
}

// TestHangingStoreDelaysOnlyFirstClaim makes store calls hang before they fail.
// Only the first claim waits; later ones are refused at once.
func TestHangingStoreDelaysOnlyFirstClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, day)
		writer := c.writer("a")
		_, err := c.claim(writer, "warm", "w")
		require.NoError(t, err)
		clearFault := c.store.AddFault(kvtest.Fault{Delay: 1500 * time.Millisecond, Err: kv.ErrUnreachable})
		_, err = c.claim(writer, "first", "r")
		requireNotRun(t, err)
		start := time.Now()
		for i := range 100 {
			_, err := c.claim(writer, fmt.Sprint(i), "r")
			requireNotRun(t, err)
		}
		require.Zero(t, time.Since(start), "a claim waited for a store that is known to be unavailable")
		clearFault()
	})
}

// TestFullQueueRefusesExcessClaimsAtOnce makes more claims at once than a shard
// can write in time. Those that don't fit the queue are refused at once, the
// others win.
func TestFullQueueRefusesExcessClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const claims = 4000
		c := newCluster(t, 1, day)
		writer := c.writer("a")
		_, err := c.claim(writer, "warm", "w")
		require.NoError(t, err)
		var wg sync.WaitGroup
		var won, refused atomic.Int64
		for i := range claims {
			wg.Go(func() {
				start := time.Now()
				claim, err := c.claim(writer, fmt.Sprint(i), "r")
				if err == nil && claim.Won {
					won.Add(1)
					return
				}
				requireNotRun(t, err)
				if time.Since(start) > 0 {
					t.Errorf("refused after %s", time.Since(start))
				}
				refused.Add(1)
			})
		}
		wg.Wait()
		require.EqualValues(t, claims, won.Load()+refused.Load())
		require.Positive(t, refused.Load())
		require.Greater(t, won.Load(), int64(1000))
	})
}

func TestShardCountStaysAsFirstWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8, day)
		for i := range 20 {
			_, err := c.claim("a1", fmt.Sprint(i), "r")
			require.NoError(t, err)
		}
		c.doc.Once.Shards = 3
		for i := range 20 {
			claim, err := c.claim("b2", fmt.Sprint(i), "r2")
			require.NoError(t, err)
			require.False(t, claim.Won, "the claim was not found after the number of shards in the document changed")
		}
	})
}
