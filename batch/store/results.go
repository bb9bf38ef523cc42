package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// ItemResult is the result of one item of a segment.
type ItemResult struct {
	Index  int    `json:"i"`
	Result Result `json:"r"`
}

// Chunk is a part of a segment's results, encoded and not yet recorded. It is
// written to the store as one value.
type Chunk struct {
	Run     string
	Segment int
	Ref     ChunkRef
	Items   []int
	Failed  int
	value   []byte
	// OnDisk is the size in bytes of the spilled value, or 0 if the value is in
	// memory.
	OnDisk int
	// file is the path of the spilled value, or empty.
	file string
}

// Bytes returns the number of bytes that the value takes in memory.
func (c *Chunk) Bytes() int { return len(c.value) }

// Spill moves the chunk's value from memory to a new file in the folder.
func (c *Chunk) Spill(folder string) error {
	if c.file != "" {
		return nil
	}
	f, err := os.CreateTemp(folder, "chunk-*")
	if err != nil {
		return errors.Wrap(err, "spill chunk to disk")
	}
	_, err = f.Write(c.value)
	if err := errors.CombineErrors(err, f.Close()); err != nil {
		_ = os.Remove(f.Name())
		return errors.Wrap(err, "spill chunk to disk")
	}
	c.file, c.OnDisk, c.value = f.Name(), len(c.value), nil
	return nil
}

// Discard releases the memory or file of the value.
func (c *Chunk) Discard() {
	if c.file != "" {
		_ = os.Remove(c.file)
	}
	c.file, c.OnDisk, c.value = "", 0, nil
}

func (c *Chunk) load() ([]byte, error) {
	if c.file == "" {
		return c.value, nil
	}
	value, err := os.ReadFile(c.file)
	return value, errors.Wrap(err, "read spilled chunk")
}

// maxChunkBytes bounds the encoded value of a chunk. It leaves room for the
// nonce that kv.Swap adds.
const maxChunkBytes = kv.MaxValueBytes - 64

// NewChunk encodes the first results into a chunk, half as many each time until
// they fit into one value, and returns their number.
func NewChunk(run string, segment int, epoch, sequence uint32, results []ItemResult) (*Chunk, int, error) {
	for n := len(results); n > 0; n /= 2 {
		value, err := encodeLines(results[:n])
		if err != nil {
			return nil, 0, err
		}
		if len(value) <= maxChunkBytes {
			return newChunk(run, segment, epoch, sequence, results[:n], value), n, nil
		}
	}
	return nil, 0, errors.Newf("result of segment %d exceeds %d bytes when encoded", segment, maxChunkBytes)
}

func newChunk(run string, segment int, epoch, sequence uint32, results []ItemResult, value []byte) *Chunk {
	c := &Chunk{Run: run, Segment: segment, Ref: ChunkRef{Epoch: epoch, Sequence: sequence, Items: len(results)}, value: value}
	for i := range results {
		c.Items = append(c.Items, results[i].Index)
		if results[i].Result.Error != nil {
			c.Failed++
		}
	}
	return c
}

func encodeLines(results []ItemResult) ([]byte, error) {
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	for i := range results {
		if err := enc.Encode(&results[i]); err != nil {
			return nil, errors.Wrap(err, "encode item result")
		}
	}
	return compress(text.Bytes()), nil
}

// Write creates the chunk in the store. If it exists already, Write succeeds if
// the content is the same: an earlier write took effect. Only one owner writes
// under an epoch, so other content is an error.
func (c *Chunk) Write(ctx context.Context, store kv.Store) error {
	key := chunkKey(c.Run, c.Ref, c.Segment)
	value, err := c.load()
	if err != nil {
		return err
	}
	version, err := kv.Swap(ctx, store, kv.Put{Key: key, Value: value})
	if err == nil {
		c.Ref.Version = version
		return nil
	}
	if !errors.Is(err, kv.ErrConflict) {
		return err
	}
	r, err := kv.Read(ctx, store, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(r.Payload, value) {
		return errors.Newf("chunk %s already exists with other results", key)
	}
	c.Ref.Version = r.Version
	return nil
}

// ReadChunk calls visit with each result of a chunk.
func ReadChunk(ctx context.Context, store kv.Store, run string, segment int, ref ChunkRef, visit func(*ItemResult) error) error {
	r, err := kv.Read(ctx, store, chunkKey(run, ref, segment))
	if err != nil {
		return err
	}
	text, err := decompress(r.Payload)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	for {
		var item ItemResult
		if err := dec.Decode(&item); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return errors.Wrap(err, "decode item result")
		}
		if err := visit(&item); err != nil {
			return err
		}
	}
}

// ReadResults calls visit with each result of the job's recorded chunks,
// segment by segment, and within a segment in input order if inputOrder is set.
// It keeps at most one segment's results in memory.
func ReadResults(ctx context.Context, store kv.Store, r *Record, inputOrder bool, visit func(segment int, item *ItemResult) error) error {
	for n := range r.Segments {
		var results []ItemResult
		for _, ref := range r.Segments[n].Chunks {
			err := ReadChunk(ctx, store, r.Run, n, ref, func(item *ItemResult) error {
				if inputOrder {
					results = append(results, *item)
					return nil
				}
				return visit(n, item)
			})
			if err != nil {
				return errors.Wrapf(err, "read results of segment %d", n)
			}
		}
		slices.SortFunc(results, func(a, b ItemResult) int { return a.Index - b.Index })
		for i := range results {
			if err := visit(n, &results[i]); err != nil {
				return err
			}
		}
	}
	return nil
}
