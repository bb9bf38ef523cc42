package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Timeouts and delays of watches.
const (
	// recoveryTime is the time in which the system must have recovered from a fault.
	recoveryTime = 12 * time.Second
	// hostsWatchTimeout is the timeout of a watch for host records and end marks. If the
	// response to one is lost and no other call shows it, a host that has failed is still
	// removed in recoveryTime: its lease expires, and the rest is for the response time
	// and the pings.
	hostsWatchTimeout = recoveryTime - leaseDuration - time.Second
	// watchTimeoutFraction is the fraction of the time in which a change must
	// take effect that one watch may take. If a watch misses a change, the
	// next one still notices it in time.
	watchTimeoutFraction = 0.55
	// responseTimeFraction is the fraction of that time for which the connection of a watch
	// may be silent once its wait is over. The rest is for the poll by which the hosts hear
	// of the change and for the call by which they get it.
	responseTimeFraction = 0.2
	// confirmedWatchTimeout is the timeout of a watch for configurations while
	// confirming reads find the changes that the watch misses. It bounds how late
	// the other changes with the prefix, requests to empty a storage host, are
	// noticed then.
	confirmedWatchTimeout = 5 * time.Second
	// defaultWatchTimeout is the timeout when the settings don't bound the
	// time in which a change must take effect.
	defaultWatchTimeout = 1300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// Watcher follows the keys with a prefix. It lists all of them, then watches
// for changes, and lists them again when changes were missed.
type Watcher struct {
	name   string
	store  txn.Store
	prefix string
	clock  clockwork.Clock
	log    *logrus.Entry
	// onList receives a complete list, which has all changes up to a revision, and
	// onChanges the changes that follow it.
	onList    func(ctx context.Context, items []txn.Item, at txn.Rev)
	onChanges func(ctx context.Context, items []txn.Item)
	// onRead is called with the revision up to which all changes were passed on, after each
	// successful call; nil has no effect.
	onRead func(at txn.Rev)
	// outdated reports whether what was passed on may have been replaced by something older
	// since, so that all keys are listed again; nil never does.
	outdated func() bool
	// alongList reads what must be known to use a listing, which fails with it, at the same
	// time; nil reads nothing.
	alongList func(ctx context.Context) error
	// onUnavailable is called after each failed call and onAvailable after the
	// first successful one that follows. Either may be nil.
	onUnavailable, onAvailable func()
	// active reports whether to watch now; nil means always.
	active func() bool
	// storeUnavailable reports that the store is unavailable. After a failed
	// call the watcher makes no further call until it returns false; a watcher
	// where it is nil probes the store by its own retries.
	storeUnavailable func() bool
	// watchTimeout returns the bound of the next watch call without changes.
	watchTimeout func() time.Duration
	// batchDelay is the delay after changes, in which more may accumulate.
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
			w.log.WithField("after", at).Info("revision was compacted; listing all keys again")
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
			w.log.WithField("watch", w.name).Info("store is available again")
			if w.onAvailable != nil {
				w.onAvailable()
			}
		}
		at = next
		if w.onRead != nil {
			w.onRead(at)
		}
	}
	return ctx.Err()
}

// handleFailure logs the first failure in a row and waits. It returns the
// delay, which doubles with each failure up to maxRetryDelay.
func (w *Watcher) handleFailure(ctx context.Context, retryDelay time.Duration, err error) time.Duration {
	if retryDelay == 0 {
		w.log.WithError(err).WithField("watch", w.name).Warn("call to the store failed")
	}
	if w.onUnavailable != nil {
		w.onUnavailable()
	}
	retryDelay = min(max(2*retryDelay, minRetryDelay), maxRetryDelay)
	wait.For(ctx, w.clock, retryDelay)
	return retryDelay
}

// listOrWatch lists all keys if after is 0 or they are outdated, and otherwise watches for
// changes after it. It returns the revision from which to continue.
func (w *Watcher) listOrWatch(ctx context.Context, after txn.Rev) (txn.Rev, error) {
	if after == 0 {
		return w.list(ctx)
	}
	if w.outdated != nil && w.outdated() {
		w.log.WithField("after", after).Info("records were replaced by older ones; listing all keys again")
		return w.list(ctx)
	}
	changes, err := w.store.Watch(ctx, w.prefix, after, w.watchTimeout())
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

// list lists all keys. The reads run at the same time, so that a slow or busy store doesn't
// hold up a starting broker twice.
func (w *Watcher) list(ctx context.Context) (txn.Rev, error) {
	var (
		group errgroup.Group
		items []txn.Item
		at    txn.Rev
	)
	if w.alongList != nil {
		group.Go(func() error { return w.alongList(ctx) })
	}
	group.Go(func() (err error) {
		items, at, err = txn.List(ctx, w.store, w.prefix)
		return err
	})
	if err := group.Wait(); err != nil {
		return 0, err
	}
	w.onList(ctx, items, at)
	return at, nil
}

// String names the service in supervisor events.
func (w *Watcher) String() string { return "watch " + w.name }
