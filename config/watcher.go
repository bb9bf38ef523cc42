package config

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/platform"
)

const (
	watchWait  = 30 * time.Second
	retryDelay = 500 * time.Millisecond
)

// Watcher brings the documents of the platform's service into force.
type Watcher struct {
	store  platform.Store
	holder *Holder
	clock  clockwork.Clock
	log    *logrus.Entry
}

// NewWatcher returns a Watcher.
func NewWatcher(store platform.Store, holder *Holder, clock clockwork.Clock, log *logrus.Entry) *Watcher {
	return &Watcher{store: store, holder: holder, clock: clock, log: log}
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	ctx = platform.WithPurpose(ctx, platform.PurposeConfig)
	for ctx.Err() == nil {
		if err := w.follow(ctx); ctx.Err() == nil {
			w.log.WithError(err).Warn("configuration watch failed")
			select {
			case <-w.clock.After(retryDelay):
			case <-ctx.Done():
			}
		}
	}
	return ctx.Err()
}

// follow reads all documents and then watches for changes, until an error.
func (w *Watcher) follow(ctx context.Context) error {
	begin, err := w.store.Watch(ctx, platform.Watch{Key: keyDocs, Prefix: true})
	if err != nil {
		return err
	}
	if err := w.readAll(ctx); err != nil {
		return err
	}
	through := begin.Through
	for {
		c, err := w.store.Watch(ctx, platform.Watch{Key: keyDocs, Prefix: true, After: through, Wait: watchWait})
		if err != nil {
			return err
		}
		for _, e := range c.Events {
			w.apply(e)
		}
		through = c.Through
	}
}

// readAll applies all documents that the index names.
func (w *Watcher) readAll(ctx context.Context) error {
	names, _, err := readIndex(ctx, w.store)
	if err != nil {
		return err
	}
	for _, name := range names {
		s, version, err := readStored(ctx, w.store, name)
		if err != nil {
			return err
		}
		if version != 0 {
			w.applyStored(name, s)
		}
	}
	return nil
}

func (w *Watcher) apply(e platform.Event) {
	if e.Deleted {
		return
	}
	r, err := platform.RecordOf(e.Entry)
	if err != nil {
		w.log.WithError(err).Warn("document ignored")
		return
	}
	var s Stored
	if err := json.Unmarshal(r.Payload, &s); err != nil {
		w.log.WithError(err).Warn("document ignored")
		return
	}
	w.applyStored(strings.TrimPrefix(e.Key, keyDocs), s)
}

func (w *Watcher) applyStored(name string, s Stored) {
	d, err := s.Document(name)
	if err != nil {
		w.log.WithError(err).WithField("service", name).Error("stored document is invalid")
		return
	}
	if w.holder.Apply(d) > 0 {
		w.log.WithFields(logrus.Fields{"service": name, "generation": d.Generation}).Info("document in force")
	}
}
