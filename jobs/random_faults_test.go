package jobs

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

var (
	firstSeed   = flag.Uint64("jobs.seed", 1, "first seed of TestOutputsAreWholeUnderRandomFaults")
	randomSeeds = flag.Uint64("jobs.seeds", 1, "number of seeds of TestOutputsAreWholeUnderRandomFaults")
)

const (
	faultyEvents = 6
	faultyItems  = 12
)

// sharedRand is a source of random numbers for several goroutines.
type sharedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *sharedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

// versionedEvents returns events whose data names the software version.
func versionedEvents(version string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-e%d\n\n", n, version, n)
	}
	return b.String()
}

// wholeOutput is the output of an item on replicas of a software version.
func wholeOutput(version string) string {
	lines := make([]string, faultyEvents)
	for i := range lines {
		lines[i] = fmt.Sprintf("%s-e%d", version, i+1)
	}
	return strings.Join(lines, "\n")
}

// faultyReplicas is a forward.Upstream whose replicas fail in all ways until they are sound.
type faultyReplicas struct {
	rand  *sharedRand
	mu    sync.Mutex
	sound bool
}

func (r *faultyReplicas) setSound() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sound = true
}

func (r *faultyReplicas) isSound() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sound
}

func (r *faultyReplicas) Send(ctx context.Context, _ *forward.Request, s forward.SendArgs) (*forward.Response, error) {
	after, _ := strconv.Atoi(s.LastEventID)
	version := s.Replica.SoftwareVersion
	next := min(after+1, faultyEvents)
	upTo := next + r.rand.intN(faultyEvents-next+1)
	whole := versionedEvents(version, after+1, faultyEvents)
	res := answer(http.StatusOK, nil)
	body, end := whole, error(nil)
	failure := r.rand.intN(9)
	if r.isSound() {
		failure = 0
	}
	switch failure {
	case 0:
	case 1:
		res.Framing = pool.FramingClose
	case 2:
		// Killed between two events.
		res.Framing, body = pool.FramingClose, versionedEvents(version, after+1, upTo)
	case 3:
		body, end = versionedEvents(version, after+1, upTo), io.ErrUnexpectedEOF
	case 4:
		body = versionedEvents(version, 1, faultyEvents)
		if after == 0 {
			body = versionedEvents(version, 2, faultyEvents)
		}
	case 5:
		body = versionedEvents(version, after+1, upTo) + "HTTP/1.1 502 Bad Gateway\r\n\r\n"
	case 6:
		return nil, errors.New("reset")
	case 7:
		res.NotRun = true
	case 8:
		body, end = whole[:len(whole)/2], io.ErrUnexpectedEOF
	}
	res.Body = &slowBody{ctx: ctx, rand: r.rand, rest: body, end: end}
	return res, nil
}

// slowBody brings a body in pieces until its context ends.
type slowBody struct {
	ctx  context.Context
	rand *sharedRand
	rest string
	end  error
}

func (b *slowBody) Read(p []byte) (int, error) {
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(time.Duration(b.rand.intN(2000)) * time.Microsecond):
	}
	if b.rest == "" {
		if b.end != nil {
			return 0, b.end
		}
		return 0, io.EOF
	}
	n := copy(p, b.rest[:1+b.rand.intN(len(b.rest))])
	b.rest = b.rest[n:]
	return n, nil
}

// faultyCluster is a cluster under which slots are granted and revoked and jobs change hands.
type faultyCluster struct {
	*cluster
	rand     *sharedRand
	replicas *faultyReplicas
	names    []string
	// nextGrant and nextIncarnation are guarded by rand.
	nextGrant, nextIncarnation uint64
}

func (x *faultyCluster) start(name string) *testHost {
	x.rand.mu.Lock()
	x.nextIncarnation++
	incarnation := x.nextIncarnation
	x.rand.mu.Unlock()
	h := x.addHost(name, incarnation, x.names...)
	go func() {
		for range h.released {
		}
	}()
	return h
}

func (x *faultyCluster) host() *testHost {
	name := x.names[x.rand.intN(len(x.names))]
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hosts[name]
}

func (x *faultyCluster) grant(h *testHost, version string) {
	x.rand.mu.Lock()
	x.nextGrant++
	id := slots.GrantID(x.nextGrant)
	x.rand.mu.Unlock()
	h.Granted(slots.Grant{ID: id, Replica: replica.Replica{ID: "r", Service: "svc", SoftwareVersion: version}})
}

// step does one thing that may happen at any time.
func (x *faultyCluster) step(t *testing.T) {
	h := x.host()
	switch n := x.rand.intN(100); {
	case n < 55:
		x.grant(h, fmt.Sprint("v", 1+x.rand.intN(2)))
	case n < 70:
		x.rand.mu.Lock()
		last := x.nextGrant
		x.rand.mu.Unlock()
		h.Revoked(slots.GrantID(last - min(last, uint64(x.rand.intN(8)))))
	case n < 90:
		h.writeMu.Lock()
		if batch, _ := h.collectChanges(true); len(batch) > 0 {
			_ = h.writeChanges(t.Context(), batch)
		}
		h.writeMu.Unlock()
	case n < 95:
		if head, _, err := h.loadHead(t.Context(), "job"); err == nil {
			_ = h.claim(t.Context(), "job", head.Owner, nil)
		}
	case n < 97:
		h.HandOver(t.Context())
		_ = x.start(h.View.Self().Name).Recover(t.Context(), false)
	default:
		_ = h.Recover(t.Context(), x.rand.intN(2) == 0)
	}
}

// shown remembers what callers have read at each position.
type shown struct {
	mu      sync.Mutex
	results []Result
}

// check reads all results and requires that they are whole and what was read before. It
// returns how many there are.
func (s *shown) check(t *testing.T, h *testHost) int {
	for after := 0; ; {
		page, err := h.Results(t.Context(), Access{}, "job", after, 0)
		if err != nil || len(page.Results) == 0 {
			return after
		}
		for _, r := range page.Results {
			s.checkOne(t, after, r)
			after++
		}
	}
}

func (s *shown) checkOne(t *testing.T, position int, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if position == len(s.results) {
		s.results = append(s.results, r)
	}
	if r != s.results[position] {
		t.Errorf("position %d holds %v, before %v", position, r, s.results[position])
	}
	if !r.Done || r.Output != wholeOutput("v1") && r.Output != wholeOutput("v2") {
		t.Errorf("item %s, done %v: output %q", r.ID, r.Done, r.Output)
	}
}

// Slots are granted and revoked, replicas fail in the middle, and the job changes hands, on
// several processors: an output lacks events, has them twice or is joined of two versions.
func TestOutputsAreWholeUnderRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*randomSeeds; seed++ {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			random := &sharedRand{r: rand.New(rand.NewPCG(seed, 54))} //nolint:gosec // A test that can be repeated.
			x := &faultyCluster{rand: random, replicas: &faultyReplicas{rand: random}, names: []string{"a", "b", "d"}}
			x.cluster = newCluster(t)
			x.upstream = x.replicas
			for _, name := range x.names {
				x.start(name)
			}
			require.NoError(t, x.host().Submit(t.Context(), submission(faultyItems)))
			var (
				read    shown
				workers sync.WaitGroup
			)
			end := time.Now().Add(time.Second)
			for range 6 {
				workers.Go(func() {
					for time.Now().Before(end) && !t.Failed() {
						x.step(t)
						read.check(t, x.host())
						time.Sleep(time.Duration(random.intN(1000)) * time.Microsecond)
					}
				})
			}
			workers.Wait()
			x.replicas.setSound()
			defer x.logState(t)
			require.Eventually(t, func() bool {
				for range 20 {
					x.step(t)
				}
				return read.check(t, x.host()) == faultyItems || t.Failed()
			}, 20*time.Second, 5*time.Millisecond)
		})
	}
}

// logState logs who owns the job and how far its items are, if the test has failed.
func (x *faultyCluster) logState(t *testing.T) {
	if !t.Failed() {
		return
	}
	item, err := x.store.Get(context.Background(), headKey("job"))
	if err == nil {
		head, _ := decodeHead(item)
		t.Logf("head %+v rev %d", head, item.Rev)
	}
	for name, h := range x.hosts {
		h.mu.Lock()
		j := h.jobs["job"]
		t.Logf("host %s incarnation %d: runs it %v, stopping %v", name, h.View.Self().Incarnation, j != nil, h.stopping)
		if j != nil {
			t.Logf("rev %d recorded %d unrecorded %d disowned %v", j.rev, len(j.recorded), len(j.unrecorded), j.disowned)
			for _, it := range j.items {
				t.Logf("%s result %v running %v after %q ended %q notBefore %v events %v", it.ID, it.hasResult, it.running, it.lastEventID, it.ending, time.Until(it.notBefore), it.eventData)
			}
		}
		h.mu.Unlock()
	}
}
