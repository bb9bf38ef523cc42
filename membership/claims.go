package membership

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxClaims bounds the claims of a host. It exceeds the replicas of the design
// size.
const maxClaims = 16384

// claimTable holds the highest claim about each upstream.
type claimTable struct {
	byKey *simplelru.LRU[UpstreamKey, upstreamClaim]
}

func newClaimTable() *claimTable {
	// The size is a positive constant, the only source of an error.
	byKey, _ := simplelru.NewLRU[UpstreamKey, upstreamClaim](maxClaims, nil)
	return &claimTable{byKey: byKey}
}

func (c *upstreamClaim) key() UpstreamKey { return UpstreamKey{Service: c.Service, Name: c.Name} }

func (c *upstreamClaim) compare(o *upstreamClaim) int {
	return cmp.Or(cmp.Compare(c.Since, o.Since), cmp.Compare(c.Start, o.Start), cmp.Compare(c.State, o.State))
}

// apply keeps a claim if it is higher than the one held.
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

// digest sums up the claims, whatever their order.
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
