package picker

// mix spreads the bits of a word (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// source is a small deterministic source of random words.
type source uint64

func (r *source) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	return mix(uint64(*r))
}

// below returns a number from 0 to n-1; n is far below 2^32, so the bias of
// the multiplication does not count.
func (r *source) below(n int) int { return int((r.next() >> 32) * uint64(n) >> 32) }
