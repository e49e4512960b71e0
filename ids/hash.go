// Hashes that are the same on every machine: what falls to whom is found without a word.

package ids

import "hash/fnv"

// Hash is the 64-bit FNV-1a sum of a text.
func Hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Mix spreads what differs in few bits over all of them.
func Mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
