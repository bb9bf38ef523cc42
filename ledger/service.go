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
	// claimTimeout bounds one attempt to make a claim: through the shard's
	// writer, or by the host itself.
	claimTimeout = 2 * time.Second
	// maxAbandonedKeys bounds the keys for which a host keeps the nonces of
	// abandoned claims.
	maxAbandonedKeys = 1 << 16
	// maxAbandonedNonces bounds the nonces kept for one key.
	maxAbandonedNonces = 16
	// batchBurst is the number of batches that a host may begin at once.
	batchBurst = 4
	// maxRequestIDBytes is the length to which the request ID in a claim is
	// cut.
	maxRequestIDBytes = 64
)

// rpcName is the net/rpc name under which hosts call each other's shard
// writers.
const rpcName = "Ledger"

// Options configure a Service. All fields are required.
type Options struct {
	Store kv.Store
	Hosts membership.View
	Peers peer.Invoker
	Clock clockwork.Clock
	// BatchesPerSecond bounds the batches of all shards of this host together.
	// Claims queue while they wait for a batch, so a lower bound makes batches
	// larger. Writes of chunks come on top: about one for each 100 claims.
	BatchesPerSecond float64
}

// Service is the Ledger of one host. It sends a claim to the shard's writer in
// its data centre, and writes the claim itself if the writer can't be reached
// or can't record it.
type Service struct {
	opts         Options
	storeHealth  *storeHealth
	batchLimiter *rate.Limiter
	// abandoned holds, by key, the nonces of claims of this host whose requests
	// were not sent and never will be.
	abandoned *lru.Cache[digest, []uint64]

	mu          sync.Mutex
	shardCounts map[string]int
	shards      map[shardID]*shard
}

// shardID identifies a shard.
type shardID struct {
	Service string
	Shard   int
}

var _ Ledger = (*Service)(nil)

// New returns a Service. Other hosts reach it once Register has been called.
func New(o Options) *Service {
	abandoned, err := lru.New[digest, []uint64](maxAbandonedKeys)
	if err != nil {
		panic(err)
	}
	return &Service{
		opts: o, storeHealth: newStoreHealth(o.Store, o.Clock), abandoned: abandoned,
		batchLimiter: rate.NewLimiter(rate.Limit(o.BatchesPerSecond), batchBurst),
		shardCounts:  make(map[string]int), shards: make(map[shardID]*shard),
	}
}

// Registrar registers the receiver of calls from other hosts under a net/rpc
// name.
type Registrar interface {
	Register(name string, receiver any) error
}

// Register registers the methods that other hosts call.
func (s *Service) Register(r Registrar) error { return r.Register(rpcName, &Receiver{service: s}) }

// Claim implements Ledger.
func (s *Service) Claim(ctx context.Context, doc *service.Document, key Key, requestID string) (Claim, error) {
	now := s.opts.Clock.Now()
	if err := checkKeyAge(key, now, doc.Once.Window); err != nil {
		return Claim{}, err
	}
	id, err := s.resolveShard(ctx, doc, key)
	if err != nil {
		return Claim{}, err
	}
	req := s.newClaimRequest(key, requestID, now, doc.Once.Window)
	got := s.submit(ctx, id, req)
	if got.Outcome == outcomeWon && ctx.Err() != nil {
		got = answer{Outcome: outcomeUnknown}
	}
	switch got.Outcome {
	case outcomeWon:
		return Claim{Key: key, Won: true, First: now, Host: req.Entry.Host, RequestID: req.Entry.Request, Nonce: req.Entry.Nonce}, nil
	case outcomeHeld:
		return heldClaim(key, &got.Holder), nil
	case outcomeKeyTooOld:
		return Claim{}, keyTooOldError(doc.Once.Window)
	case outcomeRefused:
		return Claim{}, unavailableError(got.RetryAfter)
	default:
		s.abandon(id, req.Entry.Key, req.Entry.Nonce)
		return Claim{}, unavailableError(max(got.RetryAfter, minProbeDelay))
	}
}

func heldClaim(key Key, e *entry) Claim {
	return Claim{
		Key: key, First: time.UnixMilli(e.First), Host: e.Host, RequestID: e.Request, Ran: e.Ran, Nonce: e.Nonce,
	}
}

// checkKeyAge returns an error for a key that is older than the window or was
// made in the future.
func checkKeyAge(key Key, now time.Time, window time.Duration) error {
	switch {
	case key.Made.IsZero():
		return nil
	case key.Made.After(now.Add(maxClockSkew)):
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest,
			"The idempotency key was made %s in the future.", key.Made.Sub(now).Round(time.Second))
	case now.Sub(key.Made) > window:
		return keyTooOldError(window)
	default:
		return nil
	}
}

// keyTooOldError returns the error for a key whose claim may have been pruned.
// An earlier request with the key may have run.
func keyTooOldError(window time.Duration) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeConflict,
		"The idempotency key is older than %s; this request was not sent, and whether an earlier one ran is no longer known.", window)
}

// Settle implements Ledger.
func (s *Service) Settle(doc *service.Document, c Claim, v verdict.Verdict) {
	if !c.Won || v == verdict.MayHaveRun {
		return
	}
	key := c.Key.digest()
	id, ok := s.knownShard(doc.Name, key)
	if !ok {
		return
	}
	if v == verdict.NotRun {
		s.abandon(id, key, c.Nonce)
		return
	}
	s.sendSettlement(id, settlement{Key: key, Nonce: c.Nonce, Ran: true})
}

// abandon records that the request of a claim was not sent and never will be. A
// repeat on this host may replace the claim, and a settlement removes the claim
// once the store is available.
func (s *Service) abandon(id shardID, key digest, nonce uint64) {
	s.mu.Lock()
	earlier, _ := s.abandoned.Get(key)
	nonces := append(append([]uint64(nil), earlier...), nonce)
	s.abandoned.Add(key, nonces[max(0, len(nonces)-maxAbandonedNonces):])
	s.mu.Unlock()
	s.sendSettlement(id, settlement{Key: key, Nonce: nonce})
}

// newClaimRequest returns the request for a new claim of the key.
func (s *Service) newClaimRequest(key Key, requestID string, now time.Time, window time.Duration) claimRequest {
	d := key.digest()
	req := claimRequest{Window: window, Entry: entry{
		Key: d, Nonce: rand.Uint64(), Request: requestID[:min(len(requestID), maxRequestIDBytes)],
		Host: s.opts.Hosts.Self().Name, First: now.UnixMilli(), Base: now.UnixMilli(),
	}}
	if !key.Made.IsZero() {
		req.Made = key.Made.UnixMilli()
		req.Entry.Base = max(req.Entry.Base, req.Made)
	}
	req.Supersedes, _ = s.abandoned.Get(d)
	return req
}

// submit makes a claim through the shard's writer in the data centre. If the
// writer can't be reached or can't record the claim, the host writes it itself
// under the same nonce, so that both writes make one claim.
func (s *Service) submit(ctx context.Context, id shardID, req claimRequest) answer {
	writer := s.writer(id)
	if writer.Name == s.opts.Hosts.Self().Name {
		return s.claimLocally(ctx, id, req)
	}
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var reply ClaimReply
	err := s.opts.Peers.Call(callCtx, writer.PeerAddress, rpcName+".Claim", ClaimArgs{ID: id, Ask: req}, &reply)
	if err == nil && isFinal(reply.Answer.Outcome) {
		return reply.Answer
	}
	got := s.claimLocally(ctx, id, req)
	mayBeRecorded := err == nil && reply.Answer.Outcome == outcomeUnknown || err != nil && !errors.Is(err, peer.ErrUnreachable)
	if got.Outcome == outcomeRefused && mayBeRecorded {
		// The writer may still record the claim.
		got.Outcome = outcomeUnknown
	}
	return got
}

// isFinal reports whether the outcome would be the same on any other host.
func isFinal(o outcome) bool { return o == outcomeWon || o == outcomeHeld || o == outcomeKeyTooOld }

// writer returns the host that writes the shard in this data centre.
func (s *Service) writer(id shardID) membership.Host {
	ranked := membership.Rendezvous(s.opts.Hosts.Local(), id.key(), 1)
	if len(ranked) == 0 {
		return s.opts.Hosts.Self()
	}
	return ranked[0]
}

// claimLocally makes a claim with this host's shard writer.
func (s *Service) claimLocally(ctx context.Context, id shardID, req claimRequest) answer {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return s.shard(id).claim(ctx, req)
}

// sendSettlement sends a settlement to the shard's writer in the data centre,
// without waiting. If the call fails, this host's shard writer takes the
// settlement.
func (s *Service) sendSettlement(id shardID, st settlement) {
	writer := s.writer(id)
	if writer.Name == s.opts.Hosts.Self().Name {
		s.shard(id).enqueueSettlement(st)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		err := s.opts.Peers.Call(ctx, writer.PeerAddress, rpcName+".Settle", SettleArgs{ID: id, Settlement: st}, &SettleReply{})
		if err != nil {
			s.shard(id).enqueueSettlement(st)
		}
	}()
}

func (s *Service) shard(id shardID) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	sh, ok := s.shards[id]
	if !ok {
		sh = &shard{
			store: s.opts.Store, clock: s.opts.Clock, storeHealth: s.storeHealth, batchLimiter: s.batchLimiter,
			key: id.key(), chunks: newChunkSet(s.opts.Store, id.key()),
		}
		s.shards[id] = sh
	}
	return sh
}

func (id shardID) key() string { return fmt.Sprintf("ledger/%s/%d", id.Service, id.Shard) }

// resolveShard returns the shard of a key, and reads the service's layout on
// first use.
func (s *Service) resolveShard(ctx context.Context, doc *service.Document, key Key) (shardID, error) {
	d := key.digest()
	if id, ok := s.knownShard(doc.Name, d); ok {
		return id, nil
	}
	if retryAfter, unavailable := s.storeHealth.unavailable(); unavailable {
		return shardID{}, unavailableError(retryAfter)
	}
	// The call continues when the caller disconnects: its cancellation would
	// count as a failure of the store.
	ctx = kv.WithPurpose(context.WithoutCancel(ctx), kv.PurposeLedger)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	l, err := readOrCreateLayout(ctx, s.opts.Store, doc)
	s.storeHealth.report(err)
	if err != nil {
		return shardID{}, unavailableError(minProbeDelay)
	}
	s.mu.Lock()
	s.shardCounts[doc.Name] = l.Shards
	s.mu.Unlock()
	id, _ := s.knownShard(doc.Name, d)
	return id, nil
}

// knownShard returns the shard of a key if the service's layout has been read.
func (s *Service) knownShard(name string, d digest) (shardID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shards, ok := s.shardCounts[name]
	if !ok {
		return shardID{}, false
	}
	return shardID{Service: name, Shard: d.shard(shards)}, true
}

// layout holds the number of shards of a service. It is never changed once
// written: with another number hosts would look for a key in different shards.
type layout struct {
	Shards int
}

// readOrCreateLayout returns the layout of a service. If there is none, it
// writes the one that the service document asks for.
func readOrCreateLayout(ctx context.Context, store kv.Store, doc *service.Document) (layout, error) {
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
		return layout{}, errors.Newf("ledger layout %q: number of shards is less than 1", key)
	}
	return l, nil
}
