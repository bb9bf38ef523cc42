// Package connreset resets the connections of HTTP responses.
package connreset

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// lingerReset is the linger time in seconds with which closing a connection resets it.
const lingerReset = 0

// Reset closes the connection of a response by a reset, which shows a caller of HTTP/1.0
// that a response without a length is not complete. On an error the connection may have been
// closed in order, or not at all.
func Reset(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Wrap(err, "take over connection")
	}
	// A listener may have wrapped the TCP connection.
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		err = tcp.SetLinger(lingerReset)
	}
	// A reset is sent by closing; its error has nobody left to be told.
	_ = conn.Close()
	return errors.Wrap(err, "set linger")
}
