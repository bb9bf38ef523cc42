package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/peer"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	// claimTimeout bounds one way of making a claim: through the writer, or
	// by the host itself.
	claimTimeout = 2 * time.Second
	// maxAbandoned bounds the keys whose unsent claims a host remembers.
	maxAbandoned = 1 << 16
	// maxAbandonedPerKey bounds the unsent claims of one key.
	maxAbandonedPerKey = 16
	// paceBurst is how many batches of a host may begin at once.
	paceBurst = 4
	// maxRequestID bounds the request id that is kept with a claim, in bytes.
	maxRequestID = 64
)

// rpcName is the name under which hosts call each other's shards.
const rpcName = "Ledger"

// Options hold what a Service needs; all fields are required.
type Options struct {
	Store kv.Store
	Hosts membership.View
	Peers peer.Caller
	Clock clockwork.Clock
	// BatchesPerSecond bounds the batches of all shards of this host together.
	// Claims gather while they wait, so that a lower bound makes larger
	// batches. Chunks come on top: about one for each 100 claims.
	BatchesPerSecond float64
}

// Service is the Ledger of one host. It sends claims to the shard's writer in
// the data centre and writes them itself when that one can't be reached.
type Service struct {
	opts   Options
	health *health
	pace   *rate.Limiter
	// abandoned are claims of this host whose requests were not sent and never
	// will be, by key.
	abandoned *lru.Cache[digest, []uint64]

	mu      sync.Mutex
	layouts map[string]int
	shards  map[shardID]*shard
}

// shardID names a shard.
type shardID struct {
	Service string
	Shard   int
}

var _ Ledger = (*Service)(nil)

// New returns a Service.
func New(o Options) *Service {
	abandoned, err := lru.New[digest, []uint64](maxAbandoned)
	if err != nil {
		panic(err)
	}
	return &Service{
		opts: o, health: newHealth(o.Store, o.Clock), abandoned: abandoned,
		pace:    rate.NewLimiter(rate.Limit(o.BatchesPerSecond), paceBurst),
		layouts: make(map[string]int), shards: make(map[shardID]*shard),
	}
}

// Registrar takes the methods that other hosts call.
type Registrar interface {
	Register(name string, receiver any) error
}

// Register publishes the methods that other hosts call.
func (s *Service) Register(r Registrar) error { return r.Register(rpcName, &Receiver{service: s}) }

// Claim implements Ledger.
func (s *Service) Claim(ctx context.Context, doc *service.Document, key Key, requestID string) (Claim, error) {
	now := s.opts.Clock.Now()
	if err := checkAge(key, now, doc.Once.Window); err != nil {
		return Claim{}, err
	}
	id, err := s.locate(ctx, doc, key)
	if err != nil {
		return Claim{}, err
	}
	a := s.ask(key, requestID, now, doc.Once.Window)
	got := s.route(ctx, id, a)
	if got.Outcome == outcomeWon && ctx.Err() != nil {
		got = answer{Outcome: outcomeUnknown}
	}
	switch got.Outcome {
	case outcomeWon:
		return Claim{Key: key, Won: true, First: now, Host: a.Entry.Host, RequestID: a.Entry.Request, Nonce: a.Entry.Nonce}, nil
	case outcomeHeld:
		return held(key, &got.Holder), nil
	case outcomeTooOld:
		return Claim{}, tooOld(doc.Once.Window)
	case outcomeRefused:
		return Claim{}, unavailable(got.RetryAfter)
	default:
		s.abandon(id, a.Entry.Key, a.Entry.Nonce)
		return Claim{}, unavailable(max(got.RetryAfter, minProbeDelay))
	}
}

func held(key Key, e *entry) Claim {
	return Claim{
		Key: key, First: time.UnixMilli(e.First), Host: e.Host, RequestID: e.Request, Ran: e.Ran, Nonce: e.Nonce,
	}
}

// checkAge refuses a key that is older than the window or made in the future.
func checkAge(key Key, now time.Time, window time.Duration) error {
	switch {
	case key.Made.IsZero():
		return nil
	case key.Made.After(now.Add(clockMargin)):
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest,
			"The idempotency key was made %s in the future.", key.Made.Sub(now).Round(time.Second))
	case now.Sub(key.Made) > window:
		return tooOld(window)
	default:
		return nil
	}
}

// tooOld refuses a key whose claim may have been forgotten. An earlier request
// with the key may have run.
func tooOld(window time.Duration) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeConflict,
		"The idempotency key is older than %s; this request was not sent, and whether an earlier one ran is no longer known.", window)
}

// Settle implements Ledger.
func (s *Service) Settle(doc *service.Document, c Claim, v verdict.Verdict) {
	if !c.Won || v == verdict.MayHaveRun {
		return
	}
	key := c.Key.digest()
	id, ok := s.known(doc.Name, key)
	if !ok {
		return
	}
	if v == verdict.NotRun {
		s.abandon(id, key, c.Nonce)
		return
	}
	s.sendSettlement(id, settlement{Key: key, Nonce: c.Nonce, Ran: true})
}

// abandon notes that the request of a claim was not sent and never will be: a
// repeat on this host takes the claim over, and the claim is removed when the
// platform's service can be reached.
func (s *Service) abandon(id shardID, key digest, nonce uint64) {
	s.mu.Lock()
	earlier, _ := s.abandoned.Get(key)
	nonces := append(append([]uint64(nil), earlier...), nonce)
	s.abandoned.Add(key, nonces[max(0, len(nonces)-maxAbandonedPerKey):])
	s.mu.Unlock()
	s.sendSettlement(id, settlement{Key: key, Nonce: nonce})
}

// ask builds the ask of a new claim.
func (s *Service) ask(key Key, requestID string, now time.Time, window time.Duration) ask {
	d := key.digest()
	a := ask{Window: window, Entry: entry{
		Key: d, Nonce: rand.Uint64(), Request: requestID[:min(len(requestID), maxRequestID)],
		Host: s.opts.Hosts.Self().Name, First: now.UnixMilli(), Base: now.UnixMilli(),
	}}
	if !key.Made.IsZero() {
		a.Made = key.Made.UnixMilli()
		a.Entry.Base = max(a.Entry.Base, a.Made)
	}
	a.Supersedes, _ = s.abandoned.Get(d)
	return a
}

// route makes a claim through the shard's writer in the data centre. When the
// writer can't be reached or has no way to the platform's service, the host
// writes itself, under the same nonce.
func (s *Service) route(ctx context.Context, id shardID, a ask) answer {
	writer := s.writer(id)
	if writer.Name == s.opts.Hosts.Self().Name {
		return s.write(ctx, id, a)
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply ClaimReply
	err := s.opts.Peers.Call(callCtx, writer.PeerAddress, rpcName+".Claim", ClaimArgs{ID: id, Ask: a}, &reply)
	if err == nil && final(reply.Answer.Outcome) {
		return reply.Answer
	}
	got := s.write(ctx, id, a)
	sent := err == nil && reply.Answer.Outcome == outcomeUnknown || err != nil && !errors.Is(err, peer.ErrUnreachable)
	if got.Outcome == outcomeRefused && sent {
		// The writer may yet bring the claim in.
		got.Outcome = outcomeUnknown
	}
	return got
}

// final reports whether an outcome can't change by asking elsewhere.
func final(o outcome) bool { return o == outcomeWon || o == outcomeHeld || o == outcomeTooOld }

// writer returns the host that writes a shard in this data centre.
func (s *Service) writer(id shardID) membership.Host {
	ranked := membership.Rendezvous(s.opts.Hosts.Local(), id.key(), 1)
	if len(ranked) == 0 {
		return s.opts.Hosts.Self()
	}
	return ranked[0]
}

// write makes a claim by the host's own shard writer.
func (s *Service) write(ctx context.Context, id shardID, a ask) answer {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return s.shard(id).claim(ctx, a)
}

// sendSettlement tells a settlement to the shard's writer. It does not wait.
func (s *Service) sendSettlement(id shardID, st settlement) {
	writer := s.writer(id)
	if writer.Name == s.opts.Hosts.Self().Name {
		s.shard(id).settle(st)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		err := s.opts.Peers.Call(ctx, writer.PeerAddress, rpcName+".Settle", SettleArgs{ID: id, Settlement: st}, &SettleReply{})
		if err != nil {
			s.shard(id).settle(st)
		}
	}()
}

func (s *Service) shard(id shardID) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh, ok := s.shards[id]
	if !ok {
		sh = &shard{
			store: s.opts.Store, clock: s.opts.Clock, health: s.health, pace: s.pace,
			key: id.key(), chunks: newChunkSet(s.opts.Store, id.key()),
		}
		s.shards[id] = sh
	}
	return sh
}

func (id shardID) key() string { return fmt.Sprintf("ledger/%s/%d", id.Service, id.Shard) }

// locate returns the shard of a key.
func (s *Service) locate(ctx context.Context, doc *service.Document, key Key) (shardID, error) {
	d := key.digest()
	if id, ok := s.known(doc.Name, d); ok {
		return id, nil
	}
	if retryAfter, refusing := s.health.refusing(); refusing {
		return shardID{}, unavailable(retryAfter)
	}
	// A caller that goes away says nothing about the platform's service.
	ctx = kv.WithPurpose(context.WithoutCancel(ctx), kv.PurposeLedger)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	l, err := readLayout(ctx, s.opts.Store, doc)
	s.health.report(err)
	if err != nil {
		return shardID{}, unavailable(minProbeDelay)
	}
	s.mu.Lock()
	s.layouts[doc.Name] = l.Shards
	s.mu.Unlock()
	id, _ := s.known(doc.Name, d)
	return id, nil
}

// known returns the shard of a key if the service's layout has been read.
func (s *Service) known(name string, d digest) (shardID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shards, ok := s.layouts[name]
	if !ok {
		return shardID{}, false
	}
	return shardID{Service: name, Shard: d.shard(shards)}, true
}

// layout is the number of shards of a service. It is written once: another
// number would lead hosts to different shards for one key.
type layout struct {
	Shards int
}

// readLayout returns a service's layout. The first host writes it, from the
// document.
func readLayout(ctx context.Context, store kv.Store, doc *service.Document) (layout, error) {
	key := strings.Join([]string{"ledger", doc.Name, "layout"}, "/")
	l := layout{Shards: doc.Once.Shards}
	r, err := kv.Read(ctx, store, key)
	if errors.Is(err, kv.ErrNotFound) {
		payload, err := encode(l)
		if err != nil {
			return layout{}, err
		}
		if _, err = kv.Swap(ctx, store, kv.Put{Key: key, Value: payload}); err == nil {
			return l, nil
		}
		if !errors.Is(err, kv.ErrConflict) {
			return layout{}, err
		}
		r, err = kv.Read(ctx, store, key)
		if err != nil {
			return layout{}, err
		}
	} else if err != nil {
		return layout{}, err
	}
	if err := decode(r.Payload, &l); err != nil {
		return layout{}, err
	}
	if l.Shards < 1 {
		return layout{}, errors.Newf("record %q: no shards", key)
	}
	return l, nil
}
