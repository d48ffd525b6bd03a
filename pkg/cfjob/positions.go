package cfjob

import "slices"

// Positions is a set of task positions (see Job.Position). Its memory depends on the
// distance between the first position that is missing and the last one that is present.
type Positions struct {
	// below is a multiple of bitsPerByte; the set contains all positions below it. bits is a
	// bitmap of the positions from below on.
	below int
	bits  []byte
}

const (
	bitsPerByte = 8
	allBits     = 0xff
)

// Has reports whether the set contains a position.
func (s *Positions) Has(position int) bool {
	if position < s.below {
		return true
	}
	i := position - s.below
	return i/bitsPerByte < len(s.bits) && s.bits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0
}

// Below returns a position: the set contains all positions below it.
func (s *Positions) Below() int { return s.below }

// Add adds a position to the set.
func (s *Positions) Add(position int) {
	if position < s.below {
		return
	}
	i := position - s.below
	if n := i/bitsPerByte + 1; n > len(s.bits) {
		s.bits = append(s.bits, make([]byte, n-len(s.bits))...)
	}
	s.bits[i/bitsPerByte] |= 1 << (i % bitsPerByte)
	s.trim()
}

// trim drops the bytes at the start of the bitmap in which all bits are set.
func (s *Positions) trim() {
	full := 0
	for full < len(s.bits) && s.bits[full] == allBits {
		full++
	}
	s.below += full * bitsPerByte
	s.bits = s.bits[full:]
}

// maxPlainPositions is the number of positions up to which a bitmap starts at position 0.
// Earlier builds read only such bitmaps, and reject jobs with more tasks.
const maxPlainPositions = 100_000

// Bitmap returns the set as a bitmap of the positions from below on. All positions before are
// in the set.
func (s *Positions) Bitmap() (below int, bits []byte) {
	if s.below+len(s.bits)*bitsPerByte > maxPlainPositions {
		return s.below, slices.Clone(s.bits)
	}
	full := slices.Repeat([]byte{allBits}, s.below/bitsPerByte)
	return 0, append(full, s.bits...)
}

// NewPositions returns the set that Bitmap has returned as a bitmap.
func NewPositions(below int, bits []byte) Positions {
	s := Positions{below: below, bits: slices.Clone(bits)}
	s.trim()
	return s
}
