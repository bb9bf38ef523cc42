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

// Chunk is a part of a segment's results that is ready to be written.
type Chunk struct {
	Run     string
	Segment int
	Ref     ChunkRef
	Items   []int
	Failed  int
	value   []byte
	// OnDisk is the size of the value while it is spilled.
	OnDisk int
	// file holds the value on disk while it is spilled.
	file string
}

// Bytes returns the size of the chunk in memory.
func (c *Chunk) Bytes() int { return len(c.value) }

// Spill moves the chunk's value to a file of its own in the folder.
func (c *Chunk) Spill(folder string) error {
	if c.file != "" {
		return nil
	}
	f, err := os.CreateTemp(folder, "chunk-*")
	if err != nil {
		return errors.Wrap(err, "spill chunk")
	}
	_, err = f.Write(c.value)
	if err := errors.CombineErrors(err, f.Close()); err != nil {
		_ = os.Remove(f.Name())
		return errors.Wrap(err, "spill chunk")
	}
	c.file, c.OnDisk, c.value = f.Name(), len(c.value), nil
	return nil
}

// Discard frees what the chunk holds.
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

// maxChunkBytes leaves room for the nonce below the largest value.
const maxChunkBytes = kv.MaxValueBytes - 64

// NewChunk encodes results, as many from the front as fit into one value, and
// returns how many that are.
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
	return nil, 0, errors.Newf("a result of segment %d exceeds %d bytes", segment, maxChunkBytes)
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
			return nil, errors.Wrap(err, "encode result")
		}
	}
	return compress(text.Bytes()), nil
}

// Write creates the chunk. Only one owner writes under an epoch, and a chunk's
// content never changes, so a chunk that exists is the same one.
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
		return errors.Newf("chunk %s holds other results", key)
	}
	c.Ref.Version = r.Version
	return nil
}

// ReadChunk calls take for each result of a chunk.
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
			return errors.Wrap(err, "decode result")
		}
		if err := visit(&item); err != nil {
			return err
		}
	}
}

// ReadResults calls take for each result of a job that a record names, segment
// by segment, and inside a segment in input order if asked. It holds at most
// one segment's results.
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
				return errors.Wrapf(err, "segment %d", n)
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
