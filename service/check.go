package service

import (
	"github.com/cockroachdb/errors"
)

// check validates the rules that span several fields: an engine service has a
// model, and no two callers have the same API key.
func (d *Document) check() error {
	if d.Kind == KindEngine && len(d.Models) == 0 {
		return errors.New("models: an engine service names at least one model")
	}
	seen := make(map[string]string, len(d.Callers))
	for i := range d.Callers {
		c := &d.Callers[i]
		if other, dup := seen[c.KeySHA256]; dup {
			return errors.Newf("callers[%d].key_sha256: the same key as caller %q", i, other)
		}
		seen[c.KeySHA256] = c.Name
	}
	return nil
}
