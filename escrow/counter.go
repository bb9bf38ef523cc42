package escrow

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

const (
	// maxRecentChanges is the number of nonces that a counter keeps, so that a
	// host can find its change after a lost reply even if others have changed
	// the counter since.
	maxRecentChanges = 32
	// maxChangeAttempts limits the compare-and-swap attempts of one change.
	maxChangeAttempts = 16
)

// counter is the stored record of how much of a service's ceiling is taken.
type counter struct {
	// Period never moves backwards.
	Period Period
	// Taken is the sum of all allotments of the period, less what was
	// returned.
	Taken int64
	// Recent holds the nonces of the latest changes, oldest first.
	Recent []uint64
}

// change takes an allotment from a counter, or returns one to it.
type change struct {
	// Period is the current period by the host's clock.
	Period Period
	// Want is the number of bytes to take; a negative number returns bytes.
	Want    int64
	Ceiling int64
}

// apply returns the counter after a change and the bytes granted. A counter of
// an earlier period starts again from zero; one of a later period, which a host
// with a faster clock began, is kept. It has no side effects.
func (c counter) apply(ch change, nonce uint64) (counter, int64) {
	if ch.Want < 0 {
		if c.Period != ch.Period {
			return c, 0
		}
		return c.addGrant(max(ch.Want, -c.Taken), nonce)
	}
	if ch.Period > c.Period {
		c = counter{Period: ch.Period, Recent: c.Recent}
	}
	return c.addGrant(max(0, min(ch.Want, ch.Ceiling-c.Taken)), nonce)
}

func (c counter) addGrant(grant int64, nonce uint64) (counter, int64) {
	if grant == 0 {
		return c, 0
	}
	c.Taken += grant
	c.Recent = append(slices.Clone(c.Recent[max(0, len(c.Recent)-maxRecentChanges+1):]), nonce)
	return c, grant
}

// grant is the result of a change; Bytes is negative if bytes were returned.
type grant struct {
	Period Period
	Bytes  int64
}

// errOutcomeUnknown means that a change may have taken effect or may still do
// so. The bytes it would have taken are never spent, and the bytes it would have
// returned are not returned again.
var errOutcomeUnknown = errors.New("outcome of the counter change is unknown")

// attempt is a compare-and-swap whose outcome is unknown.
type attempt struct {
	nonce uint64
	grant grant
}

// commitChange applies a change to the stored counter. It returns
// errOutcomeUnknown when it can't determine whether the change took effect.
func commitChange(ctx context.Context, store kv.Store, key string, ch change) (grant, error) {
	var uncertain []attempt
	for range maxChangeAttempts {
		c, version, err := read(ctx, store, key)
		if err != nil {
			return grant{}, markUnknownIf(len(uncertain) > 0, err)
		}
		if a, ok := findApplied(c, uncertain); ok {
			return a.grant, nil
		}
		if ch.Want < 0 && len(uncertain) > 0 {
			// Not found: dropped from Recent by later changes, or never applied.
			return grant{}, errOutcomeUnknown
		}
		nonce := rand.Uint64()
		next, bytes := c.apply(ch, nonce)
		if bytes == 0 {
			return grant{Period: c.Period}, nil
		}
		err = write(ctx, store, key, next, version)
		done := grant{Period: next.Period, Bytes: bytes}
		switch {
		case err == nil:
			return done, nil
		case errors.Is(err, kv.ErrUnknown), errors.Is(err, kv.ErrSuperseded):
			uncertain = append(uncertain, attempt{nonce, done})
		case !errors.Is(err, kv.ErrConflict):
			return grant{}, markUnknownIf(len(uncertain) > 0, err)
		}
	}
	return grant{}, markUnknownIf(len(uncertain) > 0, errors.Wrap(kv.ErrConflict, "change escrow counter"))
}

func markUnknownIf(unknown bool, err error) error {
	if unknown {
		return errors.Mark(err, errOutcomeUnknown)
	}
	return err
}

// findApplied returns the attempt whose nonce the counter holds.
func findApplied(c counter, uncertain []attempt) (attempt, bool) {
	for _, a := range uncertain {
		if slices.Contains(c.Recent, a.nonce) {
			return a, true
		}
	}
	return attempt{}, false
}

func read(ctx context.Context, store kv.Store, key string) (counter, kv.Version, error) {
	r, err := kv.Read(ctx, store, key)
	if errors.Is(err, kv.ErrNotFound) {
		return counter{}, 0, nil
	}
	if err != nil {
		return counter{}, 0, err
	}
	var c counter
	err = cbor.Unmarshal(r.Payload, &c)
	return c, r.Version, errors.Wrapf(err, "decode %q", key)
}

func write(ctx context.Context, store kv.Store, key string, c counter, version kv.Version) error {
	payload, err := cbor.Marshal(c)
	if err != nil {
		return errors.Wrapf(err, "encode %q", key)
	}
	_, err = kv.Swap(ctx, store, kv.Put{Key: key, Value: payload, If: version})
	return err
}
