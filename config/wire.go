package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Methods between hosts.
const (
	serviceName      = "Config"
	methodPush       = serviceName + ".Push"
	methodCompare    = serviceName + ".Compare"
	methodFetch      = serviceName + ".Fetch"
	methodGeneration = serviceName + ".Generation"
	methodGive       = serviceName + ".Give"
)

// Summary is what a host tells about its set.
type Summary struct {
	_ struct{} `cbor:",toarray"`
	// Digest sums up names and generations.
	Digest uint64
	// Complete says that the set was once that of the service.
	Complete bool
	// Age is the time since it was last known to be.
	Age time.Duration
}

// Push carries changes, or only a summary, down a tree of hosts.
type Push struct {
	_ struct{} `cbor:",toarray"`
	// Root is the name of the host at the root of the tree.
	Root    string
	Summary Summary
	Deltas  []Delta
}

// Delta is a document, compressed with the generation before as dictionary.
type Delta struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Base is the generation of the dictionary, zero for none.
	Base uint64
	Data []byte
}

// Generations are the generations that a host holds, by document.
type Generations struct {
	_       struct{} `cbor:",toarray"`
	Summary Summary
	Held    map[string]uint64
}

// Records are whole documents.
type Records struct {
	_       struct{} `cbor:",toarray"`
	Summary Summary
	// Text is a JSON list, which keeps every value as the dictionaries of
	// deltas need it.
	Text []byte
}

func newRecords(s Summary, records []record) (Records, error) {
	text, err := json.Marshal(records)
	return Records{Summary: s, Text: text}, errors.Wrap(err, "encode documents")
}

func (r *Records) records() ([]record, error) {
	var out []record
	return out, errors.Wrap(json.Unmarshal(r.Text, &out), "decode documents")
}

// Empty is an empty reply.
type Empty struct {
	_ struct{} `cbor:",toarray"`
}

// handle decodes the argument of a method, and encodes its reply. Arguments
// and replies are plain bytes to net/rpc, which would otherwise describe every
// type on every connection.
func handle[A, R any](data []byte, reply *[]byte, method func(A) (R, error)) error {
	var args A
	if err := cbor.Unmarshal(data, &args); err != nil {
		return errors.Wrap(err, "decode arguments")
	}
	result, err := method(args)
	if err != nil {
		return err
	}
	*reply, err = cbor.Marshal(result)
	return errors.Wrap(err, "encode reply")
}

// dictionaryID marks the dictionary in compressed data.
const dictionaryID = 1

// maxRecordBytes bounds a decompressed document.
const maxRecordBytes = 4 << 20

// encodeDelta compresses a record against the one that it replaces.
func encodeDelta(t replacement) (Delta, error) {
	text, err := json.Marshal(t.record)
	if err != nil {
		return Delta{}, err
	}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1)}
	if t.before.Generation > 0 {
		dictionary, err := json.Marshal(t.before)
		if err != nil {
			return Delta{}, err
		}
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, dictionary))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Delta{}, errors.Wrap(err, "compress document")
	}
	defer func() { _ = enc.Close() }()
	return Delta{Name: t.Name, Base: t.before.Generation, Data: enc.EncodeAll(text, nil)}, nil
}

// decodeDelta returns the record, given the one held.
func decodeDelta(d Delta, held record) (record, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRecordBytes)}
	if d.Base > 0 {
		dictionary, err := json.Marshal(held)
		if err != nil {
			return record{}, err
		}
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, dictionary))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return record{}, errors.Wrap(err, "decompress document")
	}
	defer dec.Close()
	text, err := dec.DecodeAll(d.Data, nil)
	if err != nil {
		return record{}, errors.Wrapf(err, "decompress document %s", d.Name)
	}
	var r record
	return r, errors.Wrapf(json.Unmarshal(text, &r), "decode document %s", d.Name)
}
