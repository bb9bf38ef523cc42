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
	// maxRecentChanges is how many changes a counter remembers, so that one whose
	// reply was lost is found again after others changed the counter.
	maxRecentChanges = 32
	// maxChangeAttempts bounds the compare-and-swaps of one change.
	maxChangeAttempts = 16
)

// counter is the record of a service's ceiling.
type counter struct {
	// Period never goes back.
	Period Period
	// Taken is the sum of all allotments of the period, less what was given
	// back.
	Taken int64
	// Recent are the nonces of the newest changes.
	Recent []uint64
}

// change is a plan for a counter: take an allotment, or give one back.
type change struct {
	// Period is the period by the host's clock.
	Period Period
	// Want is the allotment to take; negative gives back.
	Want    int64
	Ceiling int64
}

// apply returns the counter after a change and what was granted. A counter of
// an earlier period starts anew; one of a later period, which a host with a
// faster clock began, stays. It is pure.
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

// grant is the outcome of a change.
type grant struct {
	Period Period
	Bytes  int64
}

// errOutcomeUnknown means that a change may have taken effect or may yet do so. What it
// would have taken is never spent, and what it would have given back is not
// given back again.
var errOutcomeUnknown = errors.New("outcome of the counter's change lost")

// attempt is a swap of unknown outcome.
type attempt struct {
	nonce uint64
	grant grant
}

// commitChange carries a change out. It returns errLost when it can't tell whether the
// change took effect.
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
			// Not found: pushed out of Recent or never applied.
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
	return grant{}, markUnknownIf(len(uncertain) > 0, errors.Wrap(kv.ErrConflict, "escrow counter"))
}

func markUnknownIf(unknown bool, err error) error {
	if unknown {
		return errors.Mark(err, errOutcomeUnknown)
	}
	return err
}

// findApplied returns the attempt that the counter remembers.
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
