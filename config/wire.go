package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Names of the RPC methods that hosts call on each other.
const (
	serviceName      = "Config"
	methodPush       = serviceName + ".Push"
	methodCompare    = serviceName + ".Compare"
	methodFetch      = serviceName + ".Fetch"
	methodGeneration = serviceName + ".Generation"
	methodGive       = serviceName + ".Give"
)

// Summary describes the set of a host to its peers.
type Summary struct {
	_ struct{} `cbor:",toarray"`
	// Digest is a hash of the names and generations.
	Digest uint64
	// Complete says that the set was once the complete set in the store.
	Complete bool
	// Age is the time since the set was last known to equal that in the store.
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

// Delta is a document compressed with its previous generation as dictionary.
type Delta struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Base is the generation used as dictionary; zero for none.
	Base uint64
	Data []byte
}

// Generations is the reply to Compare and the argument of Fetch: the generation
// of each document that a host holds, and in replies its summary.
type Generations struct {
	_       struct{} `cbor:",toarray"`
	Summary Summary
	Held    map[string]uint64
}

// Records carries whole documents.
type Records struct {
	_       struct{} `cbor:",toarray"`
	Summary Summary
	// Text is a JSON list of records. JSON keeps every value as it is, so that
	// sender and receiver of a delta derive the same dictionary from it.
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

// handle decodes the argument of an RPC method, calls the method and encodes
// its reply. Arguments and replies are plain bytes to net/rpc, because gob
// would otherwise describe every type on every connection.
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

// dictionaryID is the identifier of the dictionary in compressed data.
const dictionaryID = 1

// maxRecordBytes bounds the size of a decompressed document.
const maxRecordBytes = 4 << 20

// encodeDelta compresses a record with the record that it replaces as
// dictionary.
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

// decodeDelta decompresses a record, given the record that this host holds.
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
