package kv

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// nonceBytes is the length of the nonce before each value that Swap writes.
const nonceBytes = 16

// Record is the payload of a key that is written through Swap.
type Record struct {
	Payload []byte
	Version Version
}

// Read returns the record under key, without its nonce.
func Read(ctx context.Context, s Store, key string) (Record, error) {
	e, err := s.Get(ctx, key)
	if err != nil {
		return Record{}, err
	}
	return recordOf(e)
}

// RecordOf strips the nonce from an entry that Swap wrote.
func RecordOf(e Entry) (Record, error) { return recordOf(e) }

func recordOf(e Entry) (Record, error) {
	if len(e.Value) < nonceBytes {
		return Record{}, errors.Newf("key %q holds no record: %d bytes", e.Key, len(e.Value))
	}
	return Record{Payload: e.Value[nonceBytes:], Version: e.Version}, nil
}

// maxSwapAttempts bounds the writes of one Swap.
const maxSwapAttempts = 3

// Swap writes put with a fresh nonce. When the reply is lost it reads back: its
// own nonce means that the write took effect. The expected version still there
// means that it has not yet; it is then written again, which is safe because
// versions are never used twice, so that at most one of the writes succeeds. A
// creation is not written again, because the key may have been created and
// removed meanwhile. Another version is reported as ErrSuperseded, which is
// also an ErrConflict: the write either lost the race or took effect and was
// then overwritten, and the caller decides from the record's content.
// ErrUnknown remains while the service can't be read or the write may still be
// under way.
func Swap(ctx context.Context, s Store, put Put) (Version, error) {
	nonce := ulid.Make()
	payload := put.Value
	put.Value = make([]byte, 0, nonceBytes+len(payload))
	put.Value = append(put.Value, nonce[:]...)
	put.Value = append(put.Value, payload...)
	var unknownErr error
	for attempt := 1; ; attempt++ {
		v, err := s.Put(ctx, put)
		switch {
		case err == nil:
			return v, nil
		case errors.Is(err, ErrUnknown):
			unknownErr = err
		case unknownErr == nil:
			return 0, err
		}
		v, err = resolve(ctx, s, put, unknownErr)
		if err == nil || !errors.Is(err, errVersionUnchanged) || put.If == 0 || attempt == maxSwapAttempts {
			return v, err
		}
	}
}

// errVersionUnchanged marks an ErrUnknown after which the key was read at the
// version that the write expects.
var errVersionUnchanged = errors.New("key still has the expected version")

// resolve finds out whether a write of unknown outcome took effect.
func resolve(ctx context.Context, s Store, put Put, unknownErr error) (Version, error) {
	e, err := s.Get(WithPurpose(ctx, PurposeRecovery), put.Key)
	switch {
	case err == nil && bytes.HasPrefix(e.Value, put.Value[:nonceBytes]):
		return e.Version, nil
	case err == nil && e.Version != put.If, errors.Is(err, ErrNotFound) && put.If != 0:
		return 0, errors.Mark(errors.Mark(errors.Newf("put %q: %v", put.Key, unknownErr), ErrSuperseded), ErrConflict)
	case err == nil:
		return 0, errors.Mark(unknownErr, errVersionUnchanged)
	default:
		return 0, unknownErr
	}
}
