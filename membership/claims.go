package membership

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxClaims bounds the claims that a host keeps. It exceeds the number of replicas
// of the design size. The least recently changed claim is evicted first.
const maxClaims = 16384

// claimTable holds, for each upstream, the highest claim received.
type claimTable struct {
	byKey *simplelru.LRU[UpstreamKey, upstreamClaim]
}

func newClaimTable() *claimTable {
	// NewLRU returns an error only if the size is not positive.
	byKey, _ := simplelru.NewLRU[UpstreamKey, upstreamClaim](maxClaims, nil)
	return &claimTable{byKey: byKey}
}

func (c *upstreamClaim) key() UpstreamKey { return UpstreamKey{Service: c.Service, Name: c.Name} }

func (c *upstreamClaim) compare(o *upstreamClaim) int {
	return cmp.Or(cmp.Compare(c.Since, o.Since), cmp.Compare(c.Start, o.Start), cmp.Compare(c.State, o.State))
}

// apply stores a claim if it is higher than the stored one, and reports whether it
// did.
func (s *claimTable) apply(c upstreamClaim) bool {
	c.State = min(c.State, Gone)
	if old, ok := s.byKey.Peek(c.key()); ok && c.compare(&old) <= 0 {
		return false
	}
	s.byKey.Add(c.key(), c)
	return true
}

func (s *claimTable) get(key UpstreamKey) (upstreamClaim, bool) { return s.byKey.Peek(key) }

func (s *claimTable) all() []upstreamClaim { return s.byKey.Values() }

// digest returns a checksum of all claims that doesn't depend on their order.
func (s *claimTable) digest() uint64 {
	sum := uint64(1)
	for _, c := range s.byKey.Values() {
		sum ^= xxhash.Sum64(c.bytes())
	}
	return sum
}

func (c *upstreamClaim) bytes() []byte {
	b := append([]byte(c.Service), 0)
	b = append(append(b, c.Name...), 0)
	b = binary.BigEndian.AppendUint64(b, c.Since)
	b = binary.BigEndian.AppendUint64(b, c.Start)
	return append(b, byte(c.State))
}
