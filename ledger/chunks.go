package ledger

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

const (
	// decodedCacheSize is the number of decoded chunks that a shard keeps in
	// memory.
	decodedCacheSize = 2 * mergeFanIn
	// maxCreateAttempts bounds the sequence numbers tried for one new chunk.
	maxCreateAttempts = 8
)

// chunkSet reads and writes the chunks of one shard. It is not safe for
// concurrent use.
type chunkSet struct {
	store kv.Store
	key   string
	// prefixes holds, by sequence number, the sorted digest prefixes of each
	// chunk read or written so far. A lookup skips the chunks that can't hold
	// its key.
	prefixes map[uint64][]uint64
	decoded  *lru.Cache[uint64, []entry]
}

func newChunkSet(store kv.Store, key string) *chunkSet {
	cache, err := lru.New[uint64, []entry](decodedCacheSize)
	if err != nil {
		panic(err)
	}
	return &chunkSet{store: store, key: key, prefixes: make(map[uint64][]uint64), decoded: cache}
}

func (c *chunkSet) chunkKey(seq uint64) string { return fmt.Sprintf("%s/chunk/%d", c.key, seq) }

// cache keeps the entries of a chunk and the digest prefixes of their keys.
func (c *chunkSet) cache(seq uint64, entries []entry) {
	prefixes := make([]uint64, len(entries))
	for i := range entries {
		prefixes[i] = entries[i].Key.prefix()
	}
	slices.Sort(prefixes)
	c.prefixes[seq] = prefixes
	c.decoded.Add(seq, entries)
}

// evictUnreferenced removes from memory the chunks that the head does not list.
func (c *chunkSet) evictUnreferenced(h *head) {
	for seq := range c.prefixes {
		if !slices.ContainsFunc(h.Chunks, func(r chunkRef) bool { return r.Seq == seq }) {
			delete(c.prefixes, seq)
			c.decoded.Remove(seq)
		}
	}
}

// entries returns the entries of a chunk, from memory or from the store.
func (c *chunkSet) entries(ctx context.Context, seq uint64) ([]entry, error) {
	if entries, ok := c.decoded.Get(seq); ok {
		return entries, nil
	}
	r, err := kv.Read(ctx, c.store, c.chunkKey(seq))
	if err != nil {
		return nil, err
	}
	var entries []entry
	if err := decode(r.Payload, &entries); err != nil {
		return nil, err
	}
	c.cache(seq, entries)
	return entries, nil
}

// findClaim searches the chunks for the newest claim of the request's key. For
// a key with a creation time it skips chunks whose claims are all older than
// the key.
func (c *chunkSet) findClaim(ctx context.Context, h *head, req *claimRequest) chunkMatch {
	for _, ref := range slices.Backward(h.Chunks) {
		if req.Made != 0 && ref.Newest < req.Made {
			continue
		}
		if prefixes, ok := c.prefixes[ref.Seq]; ok {
			if _, hit := slices.BinarySearch(prefixes, req.Entry.Key.prefix()); !hit {
				continue
			}
		}
		entries, err := c.entries(ctx, ref.Seq)
		if err != nil {
			return chunkMatch{failed: true}
		}
		for _, e := range slices.Backward(entries) {
			if e.Key == req.Entry.Key {
				return chunkMatch{holder: e, found: true}
			}
		}
	}
	return chunkMatch{}
}

// create writes a new chunk under the head's next sequence number and advances
// that number. A number that is taken, or whose write has an unknown outcome,
// is added to the head's dead chunks, which are deleted later.
func (c *chunkSet) create(ctx context.Context, h *head, entries []entry, merged bool) (chunkRef, error) {
	payload, err := encode(entries)
	if err != nil {
		return chunkRef{}, err
	}
	for range maxCreateAttempts {
		seq := h.Next
		h.Next++
		v, err := kv.Swap(ctx, c.store, kv.Put{Key: c.chunkKey(seq), Value: payload})
		switch {
		case err == nil:
			c.cache(seq, entries)
			return chunkRef{Seq: seq, Version: uint64(v), Newest: newestBase(entries), Merged: merged}, nil
		case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrUnknown):
			h.Dead = append(h.Dead, chunkRef{Seq: seq})
		default:
			return chunkRef{}, err
		}
	}
	return chunkRef{}, errors.Wrap(kv.ErrConflict, "create ledger chunk: no free sequence number found")
}

// remove deletes a dead chunk and reports whether the store no longer holds it.
func (c *chunkSet) remove(ctx context.Context, ref chunkRef) bool {
	version := kv.Version(ref.Version)
	if version == 0 {
		e, err := c.store.Get(ctx, c.chunkKey(ref.Seq))
		if err != nil {
			return errors.Is(err, kv.ErrNotFound)
		}
		version = e.Version
	}
	err := c.store.Delete(ctx, c.chunkKey(ref.Seq), version)
	return err == nil || errors.Is(err, kv.ErrNotFound)
}
