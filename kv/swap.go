package kv

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
)

// nonceBytes is the length of the nonce that Swap puts before each payload.
const nonceBytes = 16

// Record is the payload and version of a key that is written with Swap.
type Record struct {
	Payload []byte
	Version Version
}

// Read returns the record of key, without its nonce.
func Read(ctx context.Context, s Store, key string) (Record, error) {
	e, err := s.Get(ctx, key)
	if err != nil {
		return Record{}, err
	}
	return recordOf(e)
}

// RecordOf returns the record of an entry that Swap wrote, without its nonce.
func RecordOf(e Entry) (Record, error) { return recordOf(e) }

func recordOf(e Entry) (Record, error) {
	if len(e.Value) < nonceBytes {
		return Record{}, errors.Newf("value of key %q is too short for a record: %d bytes", e.Key, len(e.Value))
	}
	return Record{Payload: e.Value[nonceBytes:], Version: e.Version}, nil
}

// maxSwapAttempts is the maximum number of writes in one Swap.
const maxSwapAttempts = 3

// Swap writes put with a new nonce before the value. After a write of unknown
// outcome it reads the key:
//   - If the value has the nonce, the write took effect.
//   - If the key still has the expected version, the write has not taken effect
//     yet, and Swap writes again. This is safe because versions are never
//     reused, so that at most one of the writes succeeds. A write that creates
//     the key is not repeated, because the key may have been created and removed
//     in the meantime.
//   - If the key has another version, Swap returns ErrSuperseded, which is also
//     an ErrConflict: the write either did not take effect because another write
//     came first, or took effect and was then overwritten. The caller has to
//     decide from the content of the record.
//
// Swap returns ErrUnknown if the key can't be read, or if the write may still
// take effect later.
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

// errVersionUnchanged marks an ErrUnknown after which the key was read and still
// had the version that the write expects.
var errVersionUnchanged = errors.New("key still has the expected version")

// resolve reads the key to find out whether a write of unknown outcome took
// effect, and returns its version if it did.
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
