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
	// lossTime is how long answers to writes are lost, and loseEvery selects these writes: 33
	// in 100, where the site's troubles allow 35.
	lossTime  = 4500 * time.Millisecond
	loseEvery = 3
)

// store is the platform's store. Its leases expire, and it can lose the answers to writes.
type store struct {
	*txntest.Store
	world *world

	mu      sync.Mutex
	expires map[txn.Lease]time.Time
	ttl     map[txn.Lease]time.Duration
	// losing is set while every loseEvery-th write gets no answer. The first such write is
	// number firstLost, counted from 1.
	losing    bool
	firstLost int
	writes    int
	// late is how much later a write without an answer is done; zero does it at once.
	late time.Duration
}

// lose lets answers to writes be lost for lossTime.
func (s *store) lose(firstLost int, late time.Duration) {
	s.setLosing(true, firstLost, late)
	time.AfterFunc(lossTime, func() { s.setLosing(false, 0, 0) })
}

func (s *store) setLosing(losing bool, firstLost int, late time.Duration) {
	s.world.note("the store loses answers to writes: %t", losing)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing, s.firstLost, s.late, s.writes = losing, firstLost, late, 0
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
			s.world.note("lease %d ends", lease)
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
	lost, late := s.losesAnswer()
	if !lost {
		return s.Store.Commit(ctx, req)
	}
	if late > 0 {
		s.world.note("the answer to a write is lost, and it is done %v later: %s", late, keysOf(req))
		time.AfterFunc(late, func() {
			rev, err := s.Store.Commit(context.Background(), req)
			s.world.note("a late write: revision %d, error %v: %s", rev, err, keysOf(req))
		})
	} else {
		rev, err := s.Store.Commit(ctx, req)
		s.world.note("the answer to a write is lost: revision %d, error %v: %s", rev, err, keysOf(req))
	}
	<-ctx.Done()
	return 0, txn.ErrUnknown
}

func (s *store) losesAnswer() (lost bool, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.losing {
		return false, 0
	}
	s.writes++
	return s.writes%loseEvery == s.firstLost%loseEvery, s.late
}

func keysOf(req txn.Request) string {
	keys := make([]string, 0, len(req.Writes))
	for _, w := range req.Writes {
		keys = append(keys, w.Key)
	}
	return strings.Join(keys, " ")
}
