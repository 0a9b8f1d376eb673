// Package index finds records in a table by a key that the records hold themselves, at about six bytes per record,
// where a map takes 14 to 40. It owns table positions and nothing else. It must never offer an iteration order, so
// that no decision can depend on one.
package index

import (
	"hash/maphash"
	"math/bits"
)

// Index is a hash table of positions, with open addressing and linear probing.
type Index[K comparable] struct {
	seed  maphash.Seed
	keyAt func(at uint32) K // returns the key of the record at a position
	slots []uint32          // position + 1, or 0 for a free slot
	used  int
}

// New returns an empty index. key returns the key of the record at a position; no two records have the same key.
func New[K comparable](key func(at uint32) K) *Index[K] {
	return &Index[K]{seed: maphash.MakeSeed(), keyAt: key}
}

// firstSlot returns the slot where the search for a key begins.
func (x *Index[K]) firstSlot(k K) int {
	slot, _ := bits.Mul64(maphash.Comparable(x.seed, k), uint64(len(x.slots)))
	return int(slot)
}

// slotAfter returns the slot that follows a slot, wrapping around at the end of the table.
func (x *Index[K]) slotAfter(slot int) int {
	if slot++; slot == len(x.slots) {
		return 0
	}
	return slot
}

// findSlot returns the slot that holds a key, or the free slot where it would be inserted.
func (x *Index[K]) findSlot(k K) int {
	i := x.firstSlot(k)
	for x.slots[i] != 0 && x.keyAt(x.slots[i]-1) != k {
		i = x.slotAfter(i)
	}
	return i
}

// Len returns the number of records in the index.
func (x *Index[K]) Len() int { return x.used }

// Find returns the position of the record with this key.
func (x *Index[K]) Find(k K) (at uint32, known bool) {
	if x.used == 0 {
		return 0, false
	}
	v := x.slots[x.findSlot(k)]
	return v - 1, v != 0
}

// Put adds the record at a position. If the index holds a record with the same key, the position replaces it.
func (x *Index[K]) Put(at uint32) {
	// Grow by half once the table would be more than three quarters full.
	if 4*(x.used+1) > 3*len(x.slots) {
		x.resize(len(x.slots) + len(x.slots)/2 + 8)
	}
	i := x.findSlot(x.keyAt(at))
	if x.slots[i] == 0 {
		x.used++
	}
	x.slots[i] = at + 1
}

// Reserve makes room for n more records.
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
			x.slots[x.findSlot(x.keyAt(v-1))] = v
		}
	}
}

// Remove removes a key. It must be called while every record in the index, the removed one included, can still
// return its key. Later entries move into the freed slot, so that no search stops before it reaches its record.
func (x *Index[K]) Remove(k K) {
	if x.used == 0 {
		return
	}
	hole := x.findSlot(k)
	if x.slots[hole] == 0 {
		return
	}
	x.used--
	size := len(x.slots)
	for i := x.slotAfter(hole); x.slots[i] != 0; i = x.slotAfter(i) {
		// An entry may move into the hole unless its first slot lies after the hole, on the way to where it is now.
		first := x.firstSlot(x.keyAt(x.slots[i] - 1))
		if (i-first+size)%size >= (i-hole+size)%size {
			x.slots[hole] = x.slots[i]
			hole = i
		}
	}
	x.slots[hole] = 0
}
