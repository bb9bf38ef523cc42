// Package tunnel carries connections to replicas through other hosts. A host may be cut
// off from the replicas while it still reaches the other hosts. Dialer connects to a
// replica directly or, where that fails, through a host that reaches it; Server is that
// host's side; Paths knows which replicas this host reaches directly.
//
// One tunnel is one TCP connection between two hosts. It begins with a request, which names
// the address of the replica, and a reply with a status. After that the bytes for the
// replica follow as they are, and the bytes from it in frames. The end of the replica's
// connection has a frame of its own, so that the end of the tunnel alone, as when the
// carrying host is killed, never looks like an orderly end of a response.
package tunnel

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
)

// protocolVersion is the first byte of a request.
const protocolVersion = 1

// maxAddressBytes bounds the address in a request.
const maxAddressBytes = 64

// status is the reply to a request.
type status byte

// Values of status.
const (
	// statusConnected means that the host is connected to the replica.
	statusConnected status = iota + 1
	// statusUnreachable means that the host can't connect to the replica.
	statusUnreachable
	// statusCutOff means that the host reaches no replica directly.
	statusCutOff
	// statusBusy means that the host carries no further connection now.
	statusBusy
	// statusUnknown means that the host has no record of a replica at the address.
	statusUnknown
	// statusLeaving means that the host stops.
	statusLeaving
)

// String returns the name of the status.
func (s status) String() string {
	names := [...]string{"", "connected", "unreachable", "cut_off", "busy", "unknown", "leaving"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// frameKind is the first byte of a frame.
type frameKind byte

// Values of frameKind.
const (
	// frameData is followed by the number of its bytes and the bytes.
	frameData frameKind = iota + 1
	// frameEnd means that the replica has ended the connection in order.
	frameEnd
	// frameReset means that the connection to the replica has broken.
	frameReset
	// frameLeaving means that the carrying host stops. The tunnel lives on for the response in
	// progress, but must not be used for another request.
	frameLeaving
)

// frameHeadBytes is the size of a frame without its data, and maxFrameBytes bounds the data.
const (
	frameHeadBytes = 3
	maxFrameBytes  = 16 << 10
)

// putFrameHead writes the head of a frame to the beginning of p.
func putFrameHead(p []byte, kind frameKind, length int) {
	p[0] = byte(kind)
	binary.BigEndian.PutUint16(p[1:], uint16(length)) //nolint:gosec // at most maxFrameBytes
}

// encodeRequest returns the request for a connection to the address.
func encodeRequest(address string) ([]byte, error) {
	if len(address) > maxAddressBytes {
		return nil, errors.Newf("address has %d bytes, more than %d", len(address), maxAddressBytes)
	}
	return append([]byte{protocolVersion, byte(len(address))}, address...), nil
}

// readRequest reads a request and returns its address.
func readRequest(r io.Reader) (string, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return "", errors.Wrap(err, "read request for a tunnel")
	}
	if head[0] != protocolVersion {
		return "", errors.Newf("request for a tunnel has version %d, want %d", head[0], protocolVersion)
	}
	if head[1] > maxAddressBytes {
		return "", errors.Newf("request for a tunnel has an address of %d bytes", head[1])
	}
	address := make([]byte, head[1])
	if _, err := io.ReadFull(r, address); err != nil {
		return "", errors.Wrap(err, "read request for a tunnel")
	}
	return string(address), nil
}

// Errors of a tunnel that is not set up, to be tested with errors.Is. Nothing was sent to
// the replica.
var (
	// errUnreachable means that the carrying host can't connect to the replica.
	errUnreachable = errors.New("the host can't connect to the replica")
	errCutOff      = errors.New("the host reaches no replica")
	errBusy        = errors.New("the host carries no further connection")
	errUnknown     = errors.New("the host has no record of the replica")
	errLeaving     = errors.New("the host stops")
	errNoReply     = errors.New("the host doesn't answer")
)

// err returns the error that a status stands for.
func (s status) err() error {
	switch s {
	case statusConnected:
		return nil
	case statusUnreachable:
		return errUnreachable
	case statusCutOff:
		return errCutOff
	case statusBusy:
		return errBusy
	case statusUnknown:
		return errUnknown
	case statusLeaving:
		return errLeaving
	}
	return errors.Newf("the host replied with status %d", s)
}
