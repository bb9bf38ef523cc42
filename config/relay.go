package config

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Times of a relay.
const (
	// watchWait bounds the wait of one watch, watchTimeout the whole call: a
	// watch that hangs in a cut must end soon after it.
	watchWait    = time.Second
	watchTimeout = 2 * time.Second
	// rereadInterval is the time between two readings of all documents, which
	// find what a watch has missed.
	rereadInterval = 30 * time.Second
	// retryDelay is the pause after a failed call; a host that is no relay by
	// rank doubles it up to maxRetryDelay.
	retryDelay    = 250 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// rankPollInterval is the time between two looks at the host's rank.
	rankPollInterval = 250 * time.Millisecond
)

// runRelay watches the service while it is this host's turn, until ctx ends.
func (d *Distributor) runRelay(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		if !d.shouldRelay() {
			delay = retryDelay
			wait.For(ctx, d.Clock, rankPollInterval)
			continue
		}
		err := d.watchDocuments(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		d.Log.WithError(err).Debug("configuration watch failed")
		wait.For(ctx, d.Clock, d.jitter(delay))
		if d.rank() < relayCount {
			delay = retryDelay
		} else {
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// shouldRelay reports whether this host watches the service: as a relay, or because
// those before it in rank have been silent for too long.
func (d *Distributor) shouldRelay() bool {
	rank := d.rank()
	if rank < relayCount {
		return true
	}
	_, _, age := d.Set.Complete()
	return min(age, d.Clock.Now().Sub(d.started)) > takeOverAge+time.Duration(rank-relayCount)*takeOverAgeStep
}

// watchDocuments reads all documents and watches them, until an error, or until the
// next reading is due, or until it is no longer this host's turn.
func (d *Distributor) watchDocuments(ctx context.Context) error {
	start, err := d.watch(ctx, kv.Watch{Key: keyDocs, Prefix: true})
	if err != nil {
		return err
	}
	records, err := readAll(ctx, d.Store)
	if err != nil {
		return err
	}
	d.applyAndPush(ctx, records)
	if err := d.restoreToStore(ctx, records, true); err != nil {
		return err
	}
	d.Set.confirm(0)
	d.recordContact()
	through := start.Through
	for end := d.Clock.Now().Add(rereadInterval); d.Clock.Now().Before(end); {
		c, err := d.watch(ctx, kv.Watch{Key: keyDocs, Prefix: true, After: through, Wait: watchWait})
		if err != nil {
			return err
		}
		records := d.decodeEvents(c.Events)
		d.applyAndPush(ctx, records)
		if err := d.restoreToStore(ctx, records, false); err != nil {
			return err
		}
		d.Set.confirm(0)
		d.recordContact()
		through = c.Through
		if d.rank() >= relayCount && d.hasOtherRelay() {
			return nil
		}
	}
	return nil
}

// hasOtherRelay reports whether another host that reaches the service sends
// heartbeats.
func (d *Distributor) hasOtherRelay() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Clock.Now().Sub(d.lastRelayHeartbeat) < heartbeatInterval*(relayCount+1)
}

func (d *Distributor) watch(ctx context.Context, w kv.Watch) (kv.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return d.Store.Watch(ctx, w)
}

// applyAndPush applies records of the service and pushes what is new.
func (d *Distributor) applyAndPush(ctx context.Context, records []record) {
	if changes := d.Set.apply(records...); len(changes) > 0 {
		d.push(ctx, changes)
	}
}

func (d *Distributor) decodeEvents(events []kv.Event) []record {
	var out []record
	for _, e := range events {
		name := strings.TrimPrefix(e.Key, keyDocs)
		if e.Deleted {
			// The service has lost the document; a deletion by an operator is
			// a generation.
			out = append(out, record{Name: name})
			continue
		}
		r, err := kv.RecordOf(e.Entry)
		if err == nil {
			var s StoredDocument
			if err = json.Unmarshal(r.Payload, &s); err == nil {
				out = append(out, record{name, s})
				continue
			}
		}
		d.Log.WithError(err).WithField("service", name).Warn("document ignored")
	}
	return out
}

// restoreToStore offers what the host holds where the service has less; with all
// set, the records are all that the service has.
func (d *Distributor) restoreToStore(ctx context.Context, records []record, complete bool) error {
	stored := make(map[string]record, len(records))
	for _, r := range records {
		stored[r.Name] = r
	}
	for _, local := range d.Set.newer(nil) {
		s, known := stored[local.Name]
		if !known && !complete || known && s.Generation > local.Generation ||
			known && s.Generation == local.Generation && s.Edit == local.Edit {
			continue
		}
		d.Log.WithField("service", local.Name).Warn("the service holds an older document: offering back")
		if err := restoreDocument(ctx, d.Store, local); err != nil {
			return errors.Wrapf(err, "offer document %s back", local.Name)
		}
	}
	return nil
}
