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

// Intervals, delays and timeouts of a relay.
const (
	// watchWait bounds the wait of one watch, and watchTimeout the whole call.
	// A watch that hangs in a network partition must end soon after the
	// partition.
	watchWait    = time.Second
	watchTimeout = 2 * time.Second
	// rereadInterval is the time between two reads of all documents, which find
	// changes that a watch has missed.
	rereadInterval = 30 * time.Second
	// retryDelay is the mean delay after a failed call. A host that is not a
	// relay by rank doubles it up to maxRetryDelay.
	retryDelay    = 250 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// rankPollInterval is the longest time between two checks whether this host should
	// watch the store.
	rankPollInterval = 250 * time.Millisecond
)

// runRelay watches the store while this host is to do so, until ctx ends.
func (d *Distributor) runRelay(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		if left := d.relayDelay(); left > 0 {
			delay = retryDelay
			wait.For(ctx, d.Clock, min(left, rankPollInterval))
			continue
		}
		err := d.watchDocuments(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		d.Log.WithError(err).Debug("failed to watch documents in the store; retrying")
		wait.For(ctx, d.Clock, d.jitter(delay))
		if d.rank() < relayCount {
			delay = retryDelay
		} else {
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// relayDelay returns after which time this host should watch the store: at once as a relay by
// rank, or when the hosts before it in rank have sent no confirmation for too long. New
// confirmations extend it.
func (d *Distributor) relayDelay() time.Duration {
	rank := d.rank()
	if rank < relayCount {
		return 0
	}
	_, _, age := d.Set.Complete()
	return takeOverAge + time.Duration(rank-relayCount)*takeOverAgeStep - min(age, d.Clock.Now().Sub(d.started))
}

// watchDocuments reads all documents and watches them for changes. It returns
// after an error, when the next read of all documents is due, or when a host
// that is not a relay by rank receives heartbeats from another host.
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

// hasOtherRelay reports whether another host that reaches the store sends
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

// applyAndPush applies records read from the store and pushes those that are
// new.
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
			// The store has lost the document, so that it is to be restored. A
			// deletion by an operator is stored as a generation.
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
		d.Log.WithError(err).WithField("service", name).Warn("failed to decode document from the store; ignoring it")
	}
	return out
}

// restoreToStore writes documents back to the store if it has an older
// generation than this host, or another edit under the same generation. If
// complete is set, records are all documents in the store, and documents missing
// from it are restored as well.
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
		d.Log.WithField("service", local.Name).Warn("store has an older generation of the document; restoring the newer one")
		if err := restoreDocument(ctx, d.Store, local); err != nil {
			return errors.Wrapf(err, "restore document %s to the store", local.Name)
		}
	}
	return nil
}
