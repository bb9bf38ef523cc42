// Package idset remembers the IDs of the requests that a connection has carried.
package idset

import (
	"hash/maphash"
	"slices"
)

// Max is the number of IDs after which a set is full. It bounds the memory of a set to 4 KB.
const Max = 1000

var seed = maphash.MakeSeed()

// Set is a set of IDs, of which it keeps hashes: it may take an ID for another one. The zero
// value is empty. It is not safe for concurrent use.
type Set struct{ hashes []uint32 }

// Add adds an ID. An ID that the set has counts once more.
func (s *Set) Add(id string) { s.hashes = append(s.hashes, hash(id)) }

// Has reports whether the set has an ID. It never has the empty one.
func (s *Set) Has(id string) bool { return id != "" && slices.Contains(s.hashes, hash(id)) }

// Len returns the number of IDs that were added.
func (s *Set) Len() int { return len(s.hashes) }

// IsFull reports whether no further ID is to be added.
func (s *Set) IsFull() bool { return len(s.hashes) >= Max }

func hash(id string) uint32 {
	return uint32(maphash.String(seed, id)) //nolint:gosec // part of the hash
}
