package membership

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// kind is the type of a message.
type kind uint8

const (
	// kindProbe requests an ack from the host named Target.
	kindProbe kind = iota + 1
	// kindAck replies to a probe; Target names the host that answered.
	kindAck
	// kindProbeRequest requests the receiver to probe Target on behalf of the
	// sender (an indirect probe, "ping-req" in SWIM).
	kindProbeRequest
	// kindUpdates carries updates and requests for updates, nothing else.
	kindUpdates
	// kindJoin requests to become a member under the sender's name.
	kindJoin
	// kindJoinAccepted and kindJoinRejected reply to a join.
	kindJoinAccepted
	kindJoinRejected
	// kindRemoteSync carries digests to compare with another data centre.
	kindRemoteSync
)

// want is the set of data that a sender requests: the receiver's own record, its
// host table or its claims about upstreams.
type want uint8

const (
	wantRecord want = 1 << iota
	wantTable
	wantClaims
)

// flag is a set of properties that a host announces about itself.
type flag uint8

const (
	flagLeaving flag = 1 << iota
	flagLeft
)

// doubt is the failure state of a host as other members detected it. The values
// are ordered by precedence.
type doubt uint8

const (
	doubtNone doubt = iota
	doubtSuspect
	doubtFailed
)

// message is one message between members.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	From string
	// DataCentre is the sender's; empty means the same as the receiver's.
	DataCentre  string
	Incarnation uint64
	Seq         uint32
	Target      string
	// Digest is the checksum of the sender's whole table or, between data
	// centres, of the hosts of its own data centre. ClaimsDigest is that of its
	// claims about upstreams. Zero means not to compare.
	Digest       uint64
	ClaimsDigest uint64
	Want         want
	Hosts        []hostUpdate
	Claims       []upstreamClaim
}

// hostUpdate is the state of one host as it is sent between members.
type hostUpdate struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// DataCentre and Region are omitted if they are the receiver's own.
	DataCentre  string
	Region      string
	Peer        netip.AddrPort
	Operators   netip.AddrPort
	Incarnation uint64
	// Refutation is incremented by the host within an incarnation to override a
	// suspicion or a failure that others detected.
	Refutation uint32
	Flags      flag
	Doubt      doubt
}

// upstreamClaim is a statement about the state of one upstream. Claims about the
// same upstream are ordered by Since, then Start, then State; the highest wins.
type upstreamClaim struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Name    string
	// Since is the generation of the service document that gave the upstream
	// its present address.
	Since uint64
	// Start is the start number that the upstream reports itself, zero while
	// unknown.
	Start uint64
	State State
	// Origin is the data centre of the host that made the claim.
	Origin string
}

// Limits on a received message.
const (
	maxMessageElements = 1 << 14
	maxMessageBytes    = 4 << 20
)

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxMessageElements, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(m *message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	return data, errors.Wrap(err, "encode membership message")
}

func decode(data []byte) (*message, error) {
	if len(data) > maxMessageBytes {
		return nil, errors.Newf("membership message of %d bytes exceeds the size limit", len(data))
	}
	m := &message{}
	if err := decMode.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "decode membership message")
	}
	return m, nil
}
