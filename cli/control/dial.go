package control

import (
	"net"

	"github.com/cockroachdb/errors"
)

// isDial reports whether no connection was made, so that nothing was changed.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
