package store

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// maxDecodedBytes bounds what one value may decompress to.
const maxDecodedBytes = 64 << 20

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(1<<20))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBytes))
)

func compress(text []byte) []byte { return encoder.EncodeAll(text, nil) }

func decompress(value []byte) ([]byte, error) {
	text, err := decoder.DecodeAll(value, nil)
	return text, errors.Wrap(err, "decompress")
}

func encode(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return compress(text), nil
}

func decode(value []byte, v any) error {
	text, err := decompress(value)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(text, v), "decode")
}
