package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Times of watches.
const (
	// longWait is how long a watch waits for a change that may be late.
	hostsWatchTimeout = 25 * time.Second
	// watchShare is the part of the time in which a change must be in force that
	// one watch waits. A watch that hears nothing while changes are made is found
	// out by the next.
	watchTimeoutFraction = 0.55
	// defaultWait is the wait when the settings don't bound that time.
	defaultWatchTimeout = 1300 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// Watcher follows the keys with a prefix: a listing, then changes, and another
// listing when changes were missed.
type Watcher struct {
	name   string
	store  txn.Store
	prefix string
	clock  clockwork.Clock
	log    *logrus.Entry
	// listed takes a complete listing and changed the changes after it.
	onList    func(ctx context.Context, items []txn.Item)
	onChanges func(ctx context.Context, items []txn.Item)
	// lost and regained tell of the store's failures; nil ignores them.
	onUnavailable, onAvailable func()
	// active reports whether to watch now; nil watches always.
	active func() bool
	// away reports that the store doesn't answer. After a failed call the watch
	// goes on once it does; nil finds that out by trying.
	storeUnavailable func() bool
	// wait is how long one watch waits for a change.
	watchTimeout time.Duration
	// gather is a pause after changes, in which more may come.
	batchDelay time.Duration
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	var (
		at         txn.Rev
		retryDelay time.Duration
	)
	for ctx.Err() == nil {
		if w.active != nil && !w.active() {
			at = 0
			wait.For(ctx, w.clock, minRetryDelay)
			continue
		}
		if retryDelay > 0 && w.storeUnavailable != nil && w.storeUnavailable() {
			wait.For(ctx, w.clock, minRetryDelay)
			continue
		}
		next, err := w.listOrWatch(ctx, at)
		if errors.Is(err, txn.ErrCompacted) {
			w.log.WithField("after", at).Info("changes are no longer known; listing anew")
			at = 0
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				retryDelay = w.handleFailure(ctx, retryDelay, err)
			}
			continue
		}
		if retryDelay > 0 {
			retryDelay = 0
			w.log.WithField("watch", w.name).Info("the store answers again")
			if w.onAvailable != nil {
				w.onAvailable()
			}
		}
		at = next
	}
	return ctx.Err()
}

// failed logs the first failure and waits.
func (w *Watcher) handleFailure(ctx context.Context, retryDelay time.Duration, err error) time.Duration {
	if retryDelay == 0 {
		w.log.WithError(err).WithField("watch", w.name).Warn("the store doesn't answer")
	}
	if w.onUnavailable != nil {
		w.onUnavailable()
	}
	retryDelay = min(max(2*retryDelay, minRetryDelay), maxRetryDelay)
	wait.For(ctx, w.clock, retryDelay)
	return retryDelay
}

// step makes one call.
func (w *Watcher) listOrWatch(ctx context.Context, after txn.Rev) (txn.Rev, error) {
	if after == 0 {
		items, at, err := txn.List(ctx, w.store, w.prefix)
		if err != nil {
			return 0, err
		}
		w.onList(ctx, items)
		return at, nil
	}
	changes, err := w.store.Watch(ctx, w.prefix, after, w.watchTimeout)
	if err != nil {
		return 0, err
	}
	if len(changes.Items) > 0 {
		w.onChanges(ctx, changes.Items)
		if w.batchDelay > 0 {
			wait.For(ctx, w.clock, w.batchDelay)
		}
	}
	return max(changes.At, after), nil
}

// String names the service in supervisor events.
func (w *Watcher) String() string { return "watch " + w.name }
