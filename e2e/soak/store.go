package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
)

// leasedStore is a txntest.Store whose leases end in time.
type leasedStore struct {
	*txntest.Store

	mu     sync.Mutex
	leases map[txn.Lease]*leaseTimer
}

type leaseTimer struct {
	ttl   time.Duration
	timer *time.Timer
}

func newLeasedStore() *leasedStore {
	return &leasedStore{Store: txntest.NewStore(), leases: make(map[txn.Lease]*leaseTimer)}
}

// Grant implements txn.Store.
func (s *leasedStore) Grant(ctx context.Context, ttl time.Duration) (txn.Lease, error) {
	id, err := s.Store.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[id] = &leaseTimer{ttl: ttl, timer: time.AfterFunc(ttl, func() { _ = s.Expire(id) })}
	return id, nil
}

// Keep implements txn.Store.
func (s *leasedStore) Keep(ctx context.Context, id txn.Lease) error {
	if err := s.Store.Keep(ctx, id); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.leases[id]; ok {
		l.timer.Reset(l.ttl)
	}
	return nil
}

// lapseAll ends all leases.
func (s *leasedStore) lapseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		// One that has ended before stays ended.
		_ = s.Expire(id)
	}
}

// storeFault is a spell in which the store harms calls.
type storeFault struct {
	fault txntest.Fault
	// share is the part of the calls that are harmed, of all or only of writes.
	share      float64
	writesOnly bool
}

// harm lets the store harm calls until it is called again; nil ends that.
func (s *leasedStore) harm(f *storeFault, seed uint64) {
	if f == nil {
		s.SetFault(nil)
		return
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	s.SetFault(func(call string) txntest.Fault {
		if f.writesOnly && call != "commit" || rng.Float64() >= f.share {
			return txntest.None
		}
		return f.fault
	})
}

// hostView is the store as one host sees it: the addresses of other hosts are
// those of proxies between the two.
type hostView struct {
	txn.Store
	translate func(value []byte) []byte
}

// hostRecords is the prefix of records that hold addresses of hosts.
const hostRecords = "fleet/hosts/"

func (v *hostView) items(items []txn.Item) []txn.Item {
	out := make([]txn.Item, len(items))
	for i, item := range items {
		if strings.HasPrefix(item.Key, hostRecords) {
			item.Value = v.translate(bytes.Clone(item.Value))
		}
		out[i] = item
	}
	return out
}

// Range implements txn.Store.
func (v *hostView) Range(ctx context.Context, prefix, after string) (txn.Page, error) {
	page, err := v.Store.Range(ctx, prefix, after)
	page.Items = v.items(page.Items)
	return page, err
}

// Watch implements txn.Store.
func (v *hostView) Watch(ctx context.Context, prefix string, after txn.Rev, wait time.Duration) (txn.Changes, error) {
	changes, err := v.Store.Watch(ctx, prefix, after, wait)
	changes.Items = v.items(changes.Items)
	return changes, err
}
