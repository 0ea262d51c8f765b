package endpoint

// point is the place of the endpoint with the index on a ring.
type point struct {
	hash  uint64
	index int32
}

// ring lists endpoints in the order of their hashes, then indexes. Adding or removing an endpoint changes only the neighbours of nearby prefixes.
type ring []point

// search returns the position of the first point at or after the hash and index.
func (r ring) search(hash uint64, index int32) int {
	low, high := 0, len(r)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if r[middle].hash < hash || r[middle].hash == hash && r[middle].index < index {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (r ring) contains(p point) bool {
	at := r.search(p.hash, p.index)
	return at < len(r) && r[at] == p
}

func (r *ring) insert(p point) {
	at := r.search(p.hash, p.index)
	if at < len(*r) && (*r)[at] == p {
		return
	}
	*r = append(*r, point{})
	copy((*r)[at+1:], (*r)[at:])
	(*r)[at] = p
}

func (r *ring) remove(p point) {
	at := r.search(p.hash, p.index)
	if at < len(*r) && (*r)[at] == p {
		*r = append((*r)[:at], (*r)[at+1:]...)
	}
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hashName is 64-bit FNV-1a with a finalizer, since FNV-1a alone gives similar names hashes that are close together.
func hashName(name string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * 1099511628211
	}
	return mix64(hash)
}
