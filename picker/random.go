package picker

// mix hashes a word with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// source is a SplitMix64 pseudorandom number generator.
type source uint64

func (r *source) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return mix(uint64(*r))
}

// below returns a random number in [0, n). The bias of the multiplication is
// negligible because n is far below 2^32.
func (r *source) below(n int) int { return int((r.next() >> 32) * uint64(n) >> 32) }
