package kvtest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/kv/kvtest"
)

// register is the state of one key: its value, or empty if the key does not
// exist.
type register string

type swapInput struct {
	read     bool
	from, to register
}

// swapOutput is the result of a call. Only reads set value.
type swapOutput struct {
	err   error
	value register
}

// swapModel is the model of compare-and-swap on one key. A write of unknown
// outcome may or may not have taken effect.
var swapModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register("")} },
	Step: func(state, input, output any) []any {
		in, out, now := input.(swapInput), output.(swapOutput), state.(register)
		switch {
		case in.read && out.value == now:
			return []any{now}
		case in.read:
			return nil
		case errors.Is(out.err, kv.ErrUnknown) && in.from == now:
			return []any{now, in.to}
		case errors.Is(out.err, kv.ErrUnknown):
			return []any{now}
		case errors.Is(out.err, kv.ErrConflict) && in.from != now:
			return []any{now}
		case out.err == nil && in.from == now:
			return []any{in.to}
		default:
			return nil
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// history records the calls of concurrent clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

// record appends a call. A write of unknown outcome may still take effect later,
// so that its return is recorded after the end of the test.
func (h *history) record(client int, in swapInput, call time.Duration, out swapOutput) {
	end := time.Since(h.start)
	if errors.Is(out.err, kv.ErrUnknown) {
		end = time.Hour
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(end)})
}

// runClient reads one key and replaces its value by unique values.
func runClient(client, calls int, s kv.Store, h *history, rng *rand.Rand) {
	ctx := context.Background()
	var e kv.Entry
	for i := range calls {
		if i%2 == 0 || rng.IntN(4) == 0 {
			call := time.Since(h.start)
			got, err := s.Get(ctx, "k")
			if err != nil && !errors.Is(err, kv.ErrNotFound) {
				continue
			}
			e = got
			h.record(client, swapInput{read: true}, call, swapOutput{value: register(e.Value)})
			continue
		}
		in := swapInput{from: register(e.Value), to: register(fmt.Sprintf("%d-%d", client, i))}
		call := time.Since(h.start)
		_, err := s.Put(ctx, kv.Put{Key: "k", Value: []byte(in.to), If: e.Version})
		h.record(client, in, call, swapOutput{err: err})
	}
}

// TestConditionalPutIsLinearizableOverHTTP checks that concurrent compare-and-swap
// on one key is linearizable while requests and replies are lost and writes are
// delayed.
func TestConditionalPutIsLinearizableOverHTTP(t *testing.T) {
	const clients, calls, seeds = 4, 16, 20
	for seed := range uint64(seeds) {
		inner := kvtest.NewStore(clockwork.NewRealClock())
		srv := kvtest.NewServer(inner)
		h := &history{start: time.Now()}
		var wg sync.WaitGroup
		for c := range clients {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			inner.AddFault(kvtest.Fault{Host: fmt.Sprint(c), Op: kvtest.OpPut, Skip: rng.IntN(4), Times: 1, LoseReply: true})
			inner.AddFault(kvtest.Fault{Host: fmt.Sprint(c), Op: kvtest.OpPut, Skip: rng.IntN(4), Times: 1, Late: true})
			inner.AddFault(kvtest.Fault{Host: fmt.Sprint(c), Skip: rng.IntN(8), Times: 1, LoseRequest: true})
			s := kv.NewHTTP(fmt.Sprint(c), []string{srv.Address()}, 5*time.Second)
			wg.Go(func() {
				runClient(c, calls, s, h, rng)
				inner.ReleaseLate()
			})
		}
		wg.Wait()
		srv.Close()
		model := swapModel.ToModel()
		res := porcupine.CheckOperationsTimeout(model, h.ops, time.Minute)
		require.Equal(t, porcupine.Ok, res, "seed %d: %v", seed, h.ops)
	}
}
