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
	longWait = 25 * time.Second
	// watchShare is the part of the time in which a change must be in force that
	// one watch waits. A watch that hears nothing while changes are made is found
	// out by the next.
	watchShare = 0.55
	// defaultWait is the wait when the settings don't bound that time.
	defaultWait = 1300 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 150 * time.Millisecond
	maxRetry = 1200 * time.Millisecond
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
	listed  func(ctx context.Context, items []txn.Item)
	changed func(ctx context.Context, items []txn.Item)
	// lost and regained tell of the store's failures; nil ignores them.
	lost, regained func()
	// active reports whether to watch now; nil watches always.
	active func() bool
	// away reports that the store doesn't answer. After a failed call the watch
	// goes on once it does; nil finds that out by trying.
	away func() bool
	// wait is how long one watch waits for a change.
	wait time.Duration
	// gather is a pause after changes, in which more may come.
	gather time.Duration
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	var (
		at    txn.Rev
		retry time.Duration
	)
	for ctx.Err() == nil {
		if w.active != nil && !w.active() {
			at = 0
			wait.For(ctx, w.clock, minRetry)
			continue
		}
		if retry > 0 && w.away != nil && w.away() {
			wait.For(ctx, w.clock, minRetry)
			continue
		}
		next, err := w.step(ctx, at)
		if errors.Is(err, txn.ErrCompacted) {
			w.log.WithField("after", at).Info("changes are no longer known; listing anew")
			at = 0
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				retry = w.failed(ctx, retry, err)
			}
			continue
		}
		if retry > 0 {
			retry = 0
			w.log.WithField("watch", w.name).Info("the store answers again")
			if w.regained != nil {
				w.regained()
			}
		}
		at = next
	}
	return ctx.Err()
}

// failed logs the first failure and waits.
func (w *Watcher) failed(ctx context.Context, retry time.Duration, err error) time.Duration {
	if retry == 0 {
		w.log.WithError(err).WithField("watch", w.name).Warn("the store doesn't answer")
	}
	if w.lost != nil {
		w.lost()
	}
	retry = min(max(2*retry, minRetry), maxRetry)
	wait.For(ctx, w.clock, retry)
	return retry
}

// step makes one call.
func (w *Watcher) step(ctx context.Context, at txn.Rev) (txn.Rev, error) {
	if at == 0 {
		items, at, err := txn.List(ctx, w.store, w.prefix)
		if err != nil {
			return 0, err
		}
		w.listed(ctx, items)
		return at, nil
	}
	changes, err := w.store.Watch(ctx, w.prefix, at, w.wait)
	if err != nil {
		return 0, err
	}
	if len(changes.Items) > 0 {
		w.changed(ctx, changes.Items)
		if w.gather > 0 {
			wait.For(ctx, w.clock, w.gather)
		}
	}
	return max(changes.At, at), nil
}

// String names the service in supervisor events.
func (w *Watcher) String() string { return "watch " + w.name }
