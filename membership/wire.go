package membership

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// kind says what a message is for.
type kind uint8

const (
	// kindProbe asks for an ack.
	kindProbe kind = iota + 1
	// kindAck answers a probe; Target names the host that lives.
	kindAck
	// kindProbeRequest asks the receiver to probe Target on behalf of the sender.
	kindProbeRequest
	// kindUpdates carries updates only.
	kindUpdates
	// kindJoin asks to be admitted under the sender's name.
	kindJoin
	// kindJoinAccepted and kindRefused answer a join.
	kindJoinAccepted
	kindJoinRejected
	// kindRemoteSync compares digests with another data centre.
	kindRemoteSync
)

// want is a set of things that a sender asks for.
type want uint8

const (
	wantRecord want = 1 << iota
	wantTable
	wantClaims
)

// flag is a set of properties that a host states about itself.
type flag uint8

const (
	flagLeaving flag = 1 << iota
	flagLeft
)

// doubt is what others think of a host's life.
type doubt uint8

const (
	doubtNone doubt = iota
	doubtSuspect
	doubtFailed
)

// message is one datagram between members.
type message struct {
	_    struct{} `cbor:",toarray"`
	Kind kind
	From string
	// DataCentre of the sender; empty means the receiver's own.
	DataCentre  string
	Incarnation uint64
	Seq         uint32
	Target      string
	// Digest sums up the sender's table of its data centre, ClaimsDigest its
	// claims about upstreams; zero when not compared.
	Digest       uint64
	ClaimsDigest uint64
	Want         want
	Hosts        []hostUpdate
	Claims       []upstreamClaim
}

// hostUpdate is the state of one host on the wire.
type hostUpdate struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// DataCentre and Region; empty means the receiver's own.
	DataCentre  string
	Region      string
	Peer        netip.AddrPort
	Operators   netip.AddrPort
	Incarnation uint64
	// Refutation grows within an incarnation when the host denies a doubt.
	Refutation uint32
	Flags      flag
	Doubt      doubt
}

// upstreamClaim is what is known of one upstream. Claims are ordered by Since, then
// Start, then State; the highest counts.
type upstreamClaim struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Name    string
	// Since is the generation of the service document that gave the upstream
	// its present address.
	Since uint64
	// Start is the upstream's own number of its start, zero while unknown.
	Start uint64
	State State
	// Origin is the data centre of the first report.
	Origin string
}

// Bounds of a message.
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
		return nil, errors.Newf("membership message of %d bytes", len(data))
	}
	m := &message{}
	if err := decMode.Unmarshal(data, m); err != nil {
		return nil, errors.Wrap(err, "decode membership message")
	}
	return m, nil
}
