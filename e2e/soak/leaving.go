package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Callers that leave streams.
const (
	leavers = 2
	// simultaneous is the number of resumptions of a stream at once.
	simultaneous = 3
	// slowRead is the size of one read of a slow caller, and slowPause the time between two.
	slowRead  = 16
	slowPause = 5 * time.Millisecond
	// maxLeftBytes bounds what callers read of a stream before they leave it.
	maxLeftBytes = 200
)

var errLeft = errors.New("the caller has left")

// leave opens streams, reads a part of each slowly, leaves it and resumes it several times
// at once.
func (c *callers) leave(ctx context.Context, n int) {
	rng := c.rng("leave", n)
	for i := 0; ctx.Err() == nil; i++ {
		caller, id := c.world.newCaller(), fmt.Sprintf("l-%d-%d", n, i)
		caller.ReadBody = readSlowly(rng.IntN(maxLeftBytes))
		h := pick(rng, c.world.hosts)
		path := pick(rng, streamPaths)
		a, err := c.call(caller, h, path, id)
		if err == nil {
			c.check(h, path, id, a)
		} else if received := c.brokenOff(h, id, path, a); received.last() > 0 {
			c.resumeTogether(rng, path, id, received)
		}
		caller.HTTP.CloseIdleConnections()
		sleep(ctx, time.Duration(rng.Int64N(int64(2*onlinePause))))
	}
}

// resumeTogether resumes a stream several times at once.
func (c *callers) resumeTogether(rng *rand.Rand, path, origin string, received text) {
	var all sync.WaitGroup
	for n := range simultaneous {
		h, id, caller := pick(rng, c.world.hosts), fmt.Sprintf("%s-s%d", origin, n), c.world.newCaller()
		c.world.customers.sends(caller.Key, id)
		all.Go(func() {
			defer caller.HTTP.CloseIdleConnections()
			a, err := caller.Resume(h.Address, path, id, "body", origin, received.last())
			if a.Status == http.StatusOK {
				c.ledger.received(received.join(part{request: id, host: h.Name, body: a.Body}, err == nil))
			}
		})
	}
	all.Wait()
}

// readSlowly returns a function that reads up to a number of bytes of a body, and fails if
// there are more.
func readSlowly(limit int) func(io.Reader) ([]byte, error) {
	return func(body io.Reader) ([]byte, error) {
		var all []byte
		for piece := make([]byte, slowRead); len(all) < limit; time.Sleep(slowPause) {
			n, err := body.Read(piece)
			all = append(all, piece[:n]...)
			if errors.Is(err, io.EOF) {
				return all, nil
			}
			if err != nil {
				return all, err
			}
		}
		return all, errLeft
	}
}
