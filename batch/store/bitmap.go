package store

import "math/bits"

// Bitmap is a set of small non-negative integers, one bit each.
type Bitmap []byte

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With adds i to the set, in place if b is long enough, and returns the set.
func (b Bitmap) With(i int) Bitmap {
	for i/8 >= len(b) {
		b = append(b, 0)
	}
	b[i/8] |= 1 << (i % 8)
	return b
}

// Without removes i from the set in place and returns it.
func (b Bitmap) Without(i int) Bitmap {
	if b.Has(i) {
		b[i/8] &^= 1 << (i % 8)
	}
	return b
}

// Count returns the number of elements.
func (b Bitmap) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}

// Clone returns a copy of the set.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }
