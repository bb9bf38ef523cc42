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

// Limits on the size of a shard's records.
const (
	// maxHeadBytes is the encoded size above which the oldest claims are moved
	// from the head to a chunk.
	maxHeadBytes = 16 << 10
	// headKeepDivisor sets how many claims remain in a head that was too large:
	// one in headKeepDivisor, the newest ones.
	headKeepDivisor = 4
	// mergeFanIn is the number of small chunks that are merged into one.
	mergeFanIn = 16
	// maxChunks bounds the chunks that a head lists.
	maxChunks = 256
)

// digest identifies a key: the first 16 bytes of the key's SHA-256 digest.
type digest [16]byte

func (k Key) digest() digest {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q%q%q", k.Service, k.Caller, k.Value))
	return digest(sum[:16])
}

// prefix returns the part of the digest that is kept in memory for each entry
// of a chunk.
func (d digest) prefix() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// shard returns the shard of the key. It uses other bits of the digest than
// prefix.
func (d digest) shard(shards int) int {
	return int(binary.BigEndian.Uint64(d[8:]) % uint64(shards))
}

// entry is a recorded claim. Its times are in Unix milliseconds.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Key     digest
	Nonce   uint64
	Request string
	Host    string
	// First is when the claim was made, by the clock of its host.
	First int64
	// Base is the later of First and the creation time of the key. The claim is
	// kept for one window after Base.
	Base int64
	Ran  bool
}

// chunkRef refers to an immutable chunk. Sequence numbers are never reused.
type chunkRef struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Version uint64
	// Newest is the largest Base of the chunk's entries.
	Newest int64
	// Merged is set for a chunk that was merged from mergeFanIn smaller ones.
	Merged bool
}

// head is the head record of a shard.
type head struct {
	_      struct{} `cbor:",toarray"`
	Claims []entry
	// Chunks lists the live chunks, oldest first.
	Chunks []chunkRef
	// Dead lists the chunks to delete. A zero Version means that the version is
	// not known.
	Dead []chunkRef
	// Next is the sequence number of the next chunk.
	Next uint64
	// Pruned is the largest Base of all claims pruned so far.
	Pruned int64
}

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return b, errors.Wrap(err, "encode ledger record")
}

func decode(b []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(b, v), "decode ledger record")
}

// clone copies the head with its slices, so that the copy can be changed.
func (h head) clone() head {
	h.Claims = slices.Clone(h.Claims)
	h.Chunks = slices.Clone(h.Chunks)
	h.Dead = slices.Clone(h.Dead)
	return h
}

// find returns the index of the key's claim in the head, or -1.
func (h *head) find(key digest) int {
	return slices.IndexFunc(h.Claims, func(e entry) bool { return e.Key == key })
}

// prune removes claims and chunks that are older than the window, plus an
// allowance for clock skew.
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

// removeOldest removes the oldest claims and returns them. About one claim in
// headKeepDivisor remains in the head.
func (h *head) removeOldest() []entry {
	slices.SortStableFunc(h.Claims, func(a, b entry) int { return cmp.Compare(a.Base, b.Base) })
	n := len(h.Claims) - len(h.Claims)/headKeepDivisor
	moved := slices.Clone(h.Claims[:n])
	h.Claims = slices.Clone(h.Claims[n:])
	return moved
}

// firstMergeable returns the index of the first of mergeFanIn adjacent chunks
// that were not merged before, or -1.
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

// mergeEntries concatenates the entries of chunks, oldest first. Of several
// claims of one key it keeps the newest.
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
