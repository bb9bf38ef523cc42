package ledger

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Sizes of a shard's records.
const (
	// maxHeadBytes is the size above which older claims leave the head.
	maxHeadBytes = 16 << 10
	// headKeepDivisor is the part of headBytes, one in so many, that stays.
	headKeepDivisor = 4
	// mergeFanIn is the number of small chunks that are merged into one.
	mergeFanIn = 16
	// maxChunks bounds the chunks that a head names.
	maxChunks = 256
)

// digest identifies a key; it is part of the key's SHA-256 digest.
type digest [16]byte

func (k Key) digest() digest {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q%q%q", k.Service, k.Caller, k.Value))
	return digest(sum[:16])
}

// prefix is the part of a digest that is kept in memory for chunks.
func (d digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// shard returns the shard of the key. It uses bits that prefix does not.
func (d digest) shard(shards int) int {
	return int(binary.BigEndian.Uint64(d[8:]) % uint64(shards))
}

// entry is one recorded claim. Times are Unix milliseconds.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Key     digest
	Nonce   uint64
	Request string
	Host    string
	// First is when the claim was made, by its host's clock.
	First int64
	// Base is the later of First and the time that the key says it was made;
	// the claim is kept for the window after it.
	Base int64
	Ran  bool
}

// chunkRef names an immutable chunk. Sequence numbers are never used twice.
type chunkRef struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Version uint64
	// Newest is the largest Base in the chunk.
	Newest int64
	// Merged marks a chunk that holds mergeFan smaller ones.
	Merged bool
}

// head is a shard's head record.
type head struct {
	_      struct{} `cbor:",toarray"`
	Claims []entry
	// Chunks are the live chunks, oldest first.
	Chunks []chunkRef
	// Dead are chunks to delete; a version of zero is not known.
	Dead []chunkRef
	// Next is the sequence number of the next chunk.
	Next uint64
	// Pruned is the largest Base of all claims that were dropped.
	Pruned int64
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "encode ledger record")
}

func decode(b []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(b, v), "decode ledger record")
}

// clone copies the head so that its slices can be changed.
func (h head) clone() head {
	h.Claims = slices.Clone(h.Claims)
	h.Chunks = slices.Clone(h.Chunks)
	h.Dead = slices.Clone(h.Dead)
	return h
}

// find returns the index of a key's claim in the head, or -1.
func (h *head) find(key digest) int {
	return slices.IndexFunc(h.Claims, func(e entry) bool { return e.Key == key })
}

// prune drops what is older than the window.
func (h *head) prune(now time.Time, window time.Duration) {
	cutoff := now.Add(-window - maxClockSkew).UnixMilli()
	h.Claims = slices.DeleteFunc(h.Claims, func(e entry) bool {
		if e.Base >= cutoff {
			return false
		}
		h.Pruned = max(h.Pruned, e.Base)
		return true
	})
	h.Chunks = slices.DeleteFunc(h.Chunks, func(r chunkRef) bool {
		if r.Newest >= cutoff {
			return false
		}
		h.Pruned = max(h.Pruned, r.Newest)
		h.Dead = append(h.Dead, r)
		return true
	})
}

// removeOldest removes the oldest claims, so that about one part in keptShare of
// a full head stays, and returns them.
func (h *head) removeOldest() []entry {
	slices.SortStableFunc(h.Claims, func(a, b entry) int { return cmp.Compare(a.Base, b.Base) })
	n := len(h.Claims) - len(h.Claims)/headKeepDivisor
	moved := slices.Clone(h.Claims[:n])
	h.Claims = slices.Clone(h.Claims[n:])
	return moved
}

// firstMergeable returns the position of the first of mergeFan adjacent small
// chunks, or -1.
func (h *head) firstMergeable() int {
	run := 0
	for i, r := range h.Chunks {
		run++
		if r.Merged {
			run = 0
		}
		if run == mergeFanIn {
			return i - mergeFanIn + 1
		}
	}
	return -1
}

// mergeEntries joins chunks, oldest first. The newest claim of a key stays.
func mergeEntries(chunks [][]entry) []entry {
	var out []entry
	seen := make(map[digest]bool)
	for _, entries := range slices.Backward(chunks) {
		for _, e := range slices.Backward(entries) {
			if !seen[e.Key] {
				seen[e.Key] = true
				out = append(out, e)
			}
		}
	}
	slices.Reverse(out)
	return out
}

func newestBase(entries []entry) int64 {
	var base int64
	for i := range entries {
		base = max(base, entries[i].Base)
	}
	return base
}
