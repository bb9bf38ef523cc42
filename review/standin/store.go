//go:build review

package main

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
)

const (
	// answerTime is how long the store takes to answer.
	answerTime = 4 * time.Millisecond
	// loseEvery selects the writes whose answers are lost: 33 in 100, where the site's
	// troubles allow 35.
	loseEvery = 3
)

// store is the platform's store. Its leases expire, and it can lose the answers to writes.
type store struct {
	*txntest.Store
	world *world

	mu      sync.Mutex
	expires map[txn.Lease]time.Time
	ttl     map[txn.Lease]time.Duration
	// losing is set while every loseEvery-th write that is done gets no answer.
	losing bool
	writes int
}

// setLosing sets whether answers to writes are lost.
func (s *store) setLosing(losing bool) {
	s.world.note("the store loses answers to writes: %t", losing)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = losing
}

// Grant implements txn.Store.
func (s *store) Grant(ctx context.Context, ttl time.Duration) (txn.Lease, error) {
	time.Sleep(answerTime)
	lease, err := s.Store.Grant(ctx, ttl)
	if err == nil {
		s.mu.Lock()
		s.ttl[lease], s.expires[lease] = ttl, time.Now().Add(ttl)
		s.mu.Unlock()
	}
	return lease, err
}

// Keep implements txn.Store.
func (s *store) Keep(ctx context.Context, lease txn.Lease) error {
	time.Sleep(answerTime)
	err := s.Store.Keep(ctx, lease)
	if err == nil {
		s.mu.Lock()
		s.expires[lease] = time.Now().Add(s.ttl[lease])
		s.mu.Unlock()
	}
	return err
}

// expire ends leases whose time to live is over.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		var over []txn.Lease
		for lease, at := range s.expires {
			if time.Now().After(at) {
				over = append(over, lease)
				delete(s.expires, lease)
			}
		}
		s.mu.Unlock()
		for _, lease := range over {
			_ = s.Store.Expire(lease)
		}
	}
}

// Get implements txn.Store.
func (s *store) Get(ctx context.Context, key string) (txn.Item, error) {
	time.Sleep(answerTime)
	return s.Store.Get(ctx, key)
}

// Range implements txn.Store.
func (s *store) Range(ctx context.Context, prefix, after string) (txn.Page, error) {
	time.Sleep(answerTime)
	return s.Store.Range(ctx, prefix, after)
}

// Commit implements txn.Store. A connection on which an answer is lost returns nothing
// further: the call hangs until its sender closes it.
func (s *store) Commit(ctx context.Context, req txn.Request) (txn.Rev, error) {
	time.Sleep(answerTime)
	rev, err := s.Store.Commit(ctx, req)
	if err != nil || !s.losesAnswer() {
		return rev, err
	}
	s.world.note("write at revision %d is done, its answer is lost: %s", rev, keysOf(req))
	<-ctx.Done()
	return 0, txn.ErrUnknown
}

func (s *store) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.losing {
		return false
	}
	s.writes++
	return s.writes%loseEvery == 0
}

func keysOf(req txn.Request) string {
	keys := make([]string, 0, len(req.Writes))
	for _, w := range req.Writes {
		keys = append(keys, w.Key)
	}
	return strings.Join(keys, " ")
}
