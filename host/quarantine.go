package host

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
)

// quarantinePrefix is the prefix of the records of requests that crash replicas, one key
// for each.
const quarantinePrefix = fleetPrefix + "quarantine/"

// maxRefusal bounds the time for which a record may refuse a request. Hosts refuse for ten
// minutes, by clocks that may differ.
const maxRefusal = 20 * time.Minute

// quarantineRecords keeps in the store which requests are refused since they crash
// replicas, so that they are refused by hosts that start later or were cut off. A lease
// removes each record when the request is no longer refused.
type quarantineRecords struct {
	store txn.Store
	clock clockwork.Clock
	log   *logrus.Entry
	// apply passes on what the records say.
	apply func(quarantine.Notice)
	// isRefused reports whether a request or a part is refused now.
	isRefused func(quarantine.Fingerprint) bool
}

// provisionQuarantine lets the broker probe replicas, and tells other hosts and the store
// what it finds out.
func (h *Host) provisionQuarantine(engine *platform.ReplicaClient) {
	h.quarantine = &quarantineRecords{
		store: h.store, clock: h.clock, log: h.log, isRefused: h.broker.IsRefused,
		apply: func(n quarantine.Notice) { _ = h.broker.Quarantine(n, new(quarantine.Notice)) },
	}
	h.broker.SetCrashProbe(engine.Accepts)
	h.broker.SetOnQuarantine(func(n quarantine.Notice) {
		h.slotClient.TellQuarantine(n)
		h.quarantine.record(n)
	})
	for state, count := range map[string]func() float64{
		"suspect": func() float64 { suspects, _ := h.broker.QuarantineCounts(); return float64(suspects) },
		"refused": func() float64 { _, refused := h.broker.QuarantineCounts(); return float64(refused) },
	} {
		h.registerGauge("comfreyspindle_quarantine_requests", "Requests that were in progress when replicas crashed, and those that are refused since they crash replicas.",
			prometheus.Labels{"state": state}, count)
	}
}

// record writes a change to the store without waiting for it.
func (q *quarantineRecords) record(n quarantine.Notice) {
	for _, c := range n.Confirmed {
		go q.write(c)
	}
	for _, f := range n.Harmless {
		go q.remove(f)
	}
}

// write writes one record. It tries again until the request is no longer refused. If that
// ends meanwhile, the record is removed again.
func (q *quarantineRecords) write(c quarantine.Confirmed) {
	q.retry(c.Fingerprint, func() error {
		left := c.Until.Sub(q.clock.Now())
		if left <= 0 || !q.isRefused(c.Fingerprint) {
			return nil
		}
		return q.writeOnce(c, left)
	})
	if !q.isRefused(c.Fingerprint) {
		q.remove(c.Fingerprint)
	}
}

// remove removes one record, unless the request is refused again. The record must not have
// changed: a late removal would take the refusal of a request that crashed replicas again for
// lifted.
func (q *quarantineRecords) remove(f quarantine.Fingerprint) {
	q.retry(f, func() error {
		if q.isRefused(f) {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), recoveryDelay)
		defer cancel()
		key := quarantinePrefix + f.String()
		item, err := q.store.Get(ctx, key)
		if errors.Is(err, txn.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		_, err = q.store.Commit(ctx, txn.Request{If: []txn.Condition{{Key: key, Rev: item.Rev}}, Remove: []string{key}})
		return err
	})
}

// retry calls change until it succeeds.
func (q *quarantineRecords) retry(f quarantine.Fingerprint, change func() error) {
	for {
		err := change()
		if err == nil {
			return
		}
		q.log.WithError(err).WithField("fingerprint", f.String()).Warn("can't record what crashes replicas; retrying")
		wait.For(context.Background(), q.clock, storeRetryDelay)
	}
}

func (q *quarantineRecords) writeOnce(c quarantine.Confirmed, ttl time.Duration) error {
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryDelay)
	defer cancel()
	lease, err := q.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	_, err = q.store.Commit(ctx, txn.Request{Writes: []txn.Write{{Key: quarantinePrefix + c.Fingerprint.String(), Value: value, Lease: lease}}})
	return err
}

// read applies records of the store.
func (q *quarantineRecords) read(items []txn.Item) {
	var n quarantine.Notice
	for _, item := range items {
		if err := q.decode(item, &n); err != nil {
			q.log.WithError(err).WithField("key", item.Key).Warn("can't decode the record of a request that crashes replicas")
		}
	}
	if len(n.Confirmed)+len(n.Harmless) > 0 {
		q.apply(n)
	}
}

// decode adds a record to a notice. One that was removed before its time is that of a
// part with which a request ran to its end.
func (q *quarantineRecords) decode(item txn.Item, n *quarantine.Notice) error {
	if item.Deleted {
		f, err := quarantine.ParseFingerprint(strings.TrimPrefix(item.Key, quarantinePrefix))
		if err == nil && q.isRefused(f) {
			n.Harmless = append(n.Harmless, f)
		}
		return err
	}
	var c quarantine.Confirmed
	if err := json.Unmarshal(item.Value, &c); err != nil {
		return err
	}
	if strings.TrimPrefix(item.Key, quarantinePrefix) != c.Fingerprint.String() || c.Until.Sub(q.clock.Now()) > maxRefusal {
		return errors.Newf("the record is of fingerprint %s, refused until %v", c.Fingerprint, c.Until)
	}
	n.Confirmed = append(n.Confirmed, c)
	return nil
}
