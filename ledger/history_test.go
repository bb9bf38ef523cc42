package ledger_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

// claimInput is a claim of one key. unsent lists the requests whose claims
// failed before this one returned: they were not sent, and their claims may be
// removed or replaced.
type claimInput struct {
	key     string
	request string
	unsent  []string
}

// claimOutput is the result of a claim. holder is the claim's own request if it
// won.
type claimOutput struct {
	holder string
	failed bool
}

// keyState is the request that holds a key, and those that held it earlier.
type keyState struct {
	holder  string
	earlier string
}

// ledgerModel describes one key of the ledger. It is claimed once, and again
// only if the request of the claim that holds it was not sent. A failed claim
// may take effect at any time after its call. A claim that doesn't win may be
// answered with the current or an earlier holder.
var ledgerModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(claimInput), output.(claimOutput)
		free := s.holder == "" || slices.Contains(in.unsent, s.holder)
		taken := keyState{holder: in.request, earlier: s.earlier + "|" + s.holder}
		switch {
		case out.failed && free:
			return []any{s, taken}
		case out.failed:
			return []any{s}
		case out.holder == in.request && free:
			return []any{taken}
		case out.holder == in.request:
			return nil
		case out.holder == s.holder, slices.Contains(splitHolders(s.earlier), out.holder):
			return []any{s}
		default:
			return nil
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

func splitHolders(earlier string) []string {
	var out []string
	for part := range slices.Values([]byte(earlier)) {
		if part == '|' {
			out = append(out, "")
			continue
		}
		out[len(out)-1] += string(part)
	}
	return out
}

// randomRun makes claims on random hosts at random times while random faults
// begin and end.
type randomRun struct {
	c   *cluster
	rng *rand.Rand

	mu       sync.Mutex
	start    time.Time
	ops      []porcupine.Operation
	failures []failure
	sent     map[string][]string
}

// failure is a claim that returned an error, with the time since the start of
// the run.
type failure struct {
	key, request string
	at           int64
}

// randomFault draws a fault and returns the function that begins it, which
// returns the function that ends it.
func (s *randomRun) randomFault() (begin func() (end func())) {
	host := hostNames[s.rng.IntN(len(hostNames))]
	faults := []kvtest.Fault{
		{LoseReply: true},
		{LoseRequest: true},
		{Late: true},
		{Err: kv.ErrUnreachable},
		{Err: kv.ErrLimited},
		{Delay: time.Duration(s.rng.IntN(3000)) * time.Millisecond},
	}
	switch s.rng.IntN(10) {
	case 0:
		return s.breakLink(host, linkDown)
	case 1:
		return s.breakLink(host, linkLosesReplies)
	case 2:
		return s.cutFromStore(host, kvtest.CutRequests)
	case 3:
		return s.cutFromStore(host, kvtest.CutReplies)
	case 4:
		return func() func() {
			s.c.store.SetOutage(true)
			return func() { s.c.store.SetOutage(false) }
		}
	default:
		f := faults[s.rng.IntN(len(faults))]
		f.Skip, f.Times = s.rng.IntN(3), s.rng.IntN(4)
		if s.rng.IntN(2) == 0 {
			f.Host = host
		}
		return func() func() { return s.c.store.AddFault(f) }
	}
}

func (s *randomRun) breakLink(host string, f linkFault) func() func() {
	return func() func() {
		s.c.net.setFault(host, f)
		return func() { s.c.net.setFault(host, linkUp) }
	}
}

func (s *randomRun) cutFromStore(host string, c kvtest.Cut) func() func() {
	return func() func() {
		s.c.store.SetCut(host, c)
		return func() { s.c.store.SetCut(host, kvtest.CutNone) }
	}
}

// claim makes one claim and records it in the history.
func (s *randomRun) claim(client int, host, key string) {
	request := fmt.Sprintf("%s-%d", host, client)
	call := time.Since(s.start)
	got, err := s.c.claim(host, key, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	op := porcupine.Operation{
		ClientId: client, Input: claimInput{key: key, request: request},
		Call: int64(call), Return: int64(time.Since(s.start)),
	}
	if err != nil {
		s.failures = append(s.failures, failure{key: key, request: request, at: op.Return})
		op.Output, op.Return = claimOutput{failed: true}, int64(time.Hour*1000)
	} else {
		op.Output = claimOutput{holder: got.RequestID}
	}
	if err == nil && got.Won {
		s.sent[key] = append(s.sent[key], request)
	}
	s.ops = append(s.ops, op)
}

// history returns the recorded claims. The request of a claim that failed
// before another claim returned counts as unsent for that one: the failed claim
// may have been removed, or replaced by a repeat on its host.
func (s *randomRun) history() []porcupine.Operation {
	for i, op := range s.ops {
		in := op.Input.(claimInput)
		for _, f := range s.failures {
			if f.key == in.key && f.at <= op.Return {
				in.unsent = append(in.unsent, f.request)
			}
		}
		s.ops[i].Input = in
	}
	return s.ops
}

func (s *randomRun) execute() {
	const claims, keys, faults = 24, 4, 6
	var wg sync.WaitGroup
	for range faults {
		at, d := s.rng.IntN(4000), s.rng.IntN(4000)
		begin := s.randomFault()
		wg.Go(func() {
			time.Sleep(time.Duration(at) * time.Millisecond)
			end := begin()
			time.Sleep(time.Duration(d) * time.Millisecond)
			end()
			s.c.store.ReleaseLate()
		})
	}
	for i := range claims {
		at := time.Duration(s.rng.IntN(8000)) * time.Millisecond
		host, key := hostNames[s.rng.IntN(len(hostNames))], fmt.Sprint(s.rng.IntN(keys))
		wg.Go(func() {
			time.Sleep(at)
			s.claim(i, host, key)
		})
	}
	wg.Wait()
	s.c.store.ReleaseLate()
}

// formatHistory lists a history in the order of the calls.
func formatHistory(ops []porcupine.Operation) string {
	slices.SortFunc(ops, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	text := ""
	for _, op := range ops {
		text += fmt.Sprintf("\n%v to %v: %+v -> %+v", time.Duration(op.Call), time.Duration(op.Return), op.Input, op.Output)
	}
	return text
}

// TestRandomFaultsKeepHistoryLinearizable executes random runs with fixed
// seeds. No key is sent twice, and the history of each key is linearizable.
func TestRandomFaultsKeepHistoryLinearizable(t *testing.T) {
	const seeds = 240
	failed, won := 0, 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := &randomRun{
				c: newCluster(t, 1, day), rng: rand.New(rand.NewPCG(seed, 0)), start: time.Now(),
				sent: make(map[string][]string),
			}
			s.execute()
			for key, requests := range s.sent {
				require.Len(t, requests, 1, "seed %d: key %s was sent more than once", seed, key)
				won++
			}
			for _, op := range s.ops {
				if op.Output.(claimOutput).failed {
					failed++
				}
			}
			for _, ops := range ledgerModel.Partition(s.history()) {
				res := porcupine.CheckOperationsTimeout(ledgerModel.ToModel(), ops, time.Minute)
				require.Equal(t, porcupine.Ok, res, "seed %d:%s", seed, formatHistory(ops))
			}
		})
	}
	t.Logf("%d schedules: %d claims won, %d refused", seeds, won, failed)
	require.Positive(t, failed)
	require.Greater(t, won, seeds)
}
