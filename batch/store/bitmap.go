package store

import "math/bits"

// Bitmap is a set of small numbers.
type Bitmap []byte

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// With returns the set with i added; it changes b.
func (b Bitmap) With(i int) Bitmap {
	for i/8 >= len(b) {
		b = append(b, 0)
	}
	b[i/8] |= 1 << (i % 8)
	return b
}

// Without returns the set with i removed; it changes b.
func (b Bitmap) Without(i int) Bitmap {
	if b.Has(i) {
		b[i/8] &^= 1 << (i % 8)
	}
	return b
}

// Count returns the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}

// Clone returns a copy.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }
