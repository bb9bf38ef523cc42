package config

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/renameio/v2"
)

// diskFileName is the name of the file in the data folder that keeps the last
// complete set of documents.
const diskFileName = "documents.json"

// diskCopy is the JSON form of the set on disk.
type diskCopy struct {
	Current time.Time
	Records []record
}

// diskCache stores the last complete set on disk, on a host that has a data
// folder, so that the host can start while neither the store nor a peer
// replies.
type diskCache struct {
	path string
	set  *Set
}

// load reads the copy on disk into the set. A missing copy is no error.
func (d *diskCache) load() error {
	text, err := os.ReadFile(d.path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read documents from disk")
	}
	var c diskCopy
	if err := json.Unmarshal(text, &c); err != nil {
		return errors.Wrapf(err, "decode %s", d.path)
	}
	d.set.apply(c.Records...)
	d.set.recordComplete(d.set.clock.Now().Sub(c.Current))
	return nil
}

// save writes the set to disk atomically. It does nothing until the set is
// complete.
func (d *diskCache) save() error {
	if complete, _, _ := d.set.Complete(); !complete {
		return nil
	}
	c := diskCopy{Records: d.set.newer(nil)}
	d.set.mu.Lock()
	c.Current = d.set.current
	d.set.mu.Unlock()
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(d.path), 0o700); err != nil {
		return errors.Wrap(err, "data_folder")
	}
	return errors.Wrap(renameio.WriteFile(d.path, text, 0o600), "write documents to disk")
}

// saveInterval is the time after which the copy is written again without a
// change, to record that it was still current.
const saveInterval = time.Minute

// serve writes the copy at the start, after each change and every saveInterval,
// until ctx ends.
func (d *diskCache) serve(ctx context.Context) {
	for {
		changed := d.set.changedSignal()
		if err := d.save(); err != nil {
			d.set.log.WithError(err).Error("failed to save documents to disk")
		}
		select {
		case <-changed:
		case <-d.set.clock.After(saveInterval):
		case <-ctx.Done():
			return
		}
	}
}
