package store

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// maxDecodedBytes bounds the size of one decompressed value.
const maxDecodedBytes = 64 << 20

// codecConcurrency bounds the number of values that are compressed, and of
// those that are decompressed, at the same time.
const codecConcurrency = 4

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(codecConcurrency), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(codecConcurrency), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecodedBytes))
)

func compress(text []byte) []byte { return encoder.EncodeAll(text, nil) }

func decompress(value []byte) ([]byte, error) {
	text, err := decoder.DecodeAll(value, nil)
	return text, errors.Wrap(err, "decompress value")
}

func encode(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode value as JSON")
	}
	return compress(text), nil
}

func decode(value []byte, v any) error {
	text, err := decompress(value)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(text, v), "decode JSON value")
}
