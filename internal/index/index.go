// Package index finds records in a table by a key that the records hold themselves, at some six bytes a record where a map takes
// fourteen to forty. It owns positions and nothing else; it has no order, so no decision can hang on one.
package index

import (
	"hash/maphash"
	"math/bits"
)

// Index is a hash table of positions, with open addressing and linear probing.
type Index[K comparable] struct {
	seed  maphash.Seed
	key   func(at uint32) K // of the record at a position
	slots []uint32          // a position and one, 0 for none
	used  int
}

// New returns an empty index over records whose keys are told by key. No two records have the same key.
func New[K comparable](key func(at uint32) K) *Index[K] {
	return &Index[K]{seed: maphash.MakeSeed(), key: key}
}

// home is where the search for a key begins.
func (x *Index[K]) home(k K) int {
	at, _ := bits.Mul64(maphash.Comparable(x.seed, k), uint64(len(x.slots)))
	return int(at)
}

// next is the slot after one.
func (x *Index[K]) next(slot int) int {
	if slot++; slot == len(x.slots) {
		return 0
	}
	return slot
}

// slot is where a key is, or the free slot where it would be.
func (x *Index[K]) slot(k K) int {
	i := x.home(k)
	for x.slots[i] != 0 && x.key(x.slots[i]-1) != k {
		i = x.next(i)
	}
	return i
}

// Len is how many records are in the index.
func (x *Index[K]) Len() int { return x.used }

// Find returns the position of the record with this key.
func (x *Index[K]) Find(k K) (at uint32, known bool) {
	if x.used == 0 {
		return 0, false
	}
	v := x.slots[x.slot(k)]
	return v - 1, v != 0
}

// Put adds the record at a position, or lets the position take the place of the one that has its key.
func (x *Index[K]) Put(at uint32) {
	if 4*(x.used+1) > 3*len(x.slots) {
		x.resize(len(x.slots) + len(x.slots)/2 + 8)
	}
	i := x.slot(x.key(at))
	if x.slots[i] == 0 {
		x.used++
	}
	x.slots[i] = at + 1
}

// Reserve makes room for so many records more.
func (x *Index[K]) Reserve(n int) {
	if want := (x.used+n)*4/3 + 8; want > len(x.slots) {
		x.resize(want)
	}
}

func (x *Index[K]) resize(n int) {
	old := x.slots
	x.slots = make([]uint32, n)
	for _, v := range old {
		if v != 0 {
			x.slots[x.slot(x.key(v-1))] = v
		}
	}
}

// Remove takes a key out, while its record and all others still tell theirs. What stands after it moves up, so that no search
// ends before it has come to its record.
func (x *Index[K]) Remove(k K) {
	if x.used == 0 {
		return
	}
	hole := x.slot(k)
	if x.slots[hole] == 0 {
		return
	}
	x.used--
	for i := x.next(hole); x.slots[i] != 0; i = x.next(i) {
		// it may move to the hole unless its home lies after the hole, on the way to where it is
		if home := x.home(x.key(x.slots[i] - 1)); (i-home+len(x.slots))%len(x.slots) >= (i-hole+len(x.slots))%len(x.slots) {
			x.slots[hole] = x.slots[i]
			hole = i
		}
	}
	x.slots[hole] = 0
}
