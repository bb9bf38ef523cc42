//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// unframedCommand is the argument with which the program is a replica whose answers have no length
// and end with their connection.
const unframedCommand = "unframed-replica"

// crashAt, followed by a number, is what a body holds that crashes each replica when it is to make the
// event with that number.
const crashAt = "crash-at-"

// unframedReplica answers requests for tokens. It sends the head of an answer at once, and each event
// when it is made.
type unframedReplica struct {
	id       string
	events   int
	interval time.Duration
}

// serveUnframed is the replica's process: it prints its address, and the id of each request that it
// begins to run with the event after which it goes on.
func serveUnframed(id string, events int, interval time.Duration) {
	r := &unframedReplica{id: id, events: events, interval: interval}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	fmt.Println("address", l.Addr())
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 10 * time.Second}
	_ = server.Serve(l)
}

func (r *unframedReplica) serve(w http.ResponseWriter, req *http.Request) {
	id, h := req.Header.Get(protocol.RequestID), w.Header()
	h.Set(protocol.RequestID, id)
	if req.Header.Get(protocol.ExpectInstance) != r.id {
		h.Set(protocol.NotRun, "instance")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fmt.Printf("run %s asked after event %d\n", id, after)
	h.Set(protocol.Seal, "seal-"+id)
	h.Set("Content-Type", "text/event-stream")
	// With this value net/http sends neither a length nor chunks, and ends the connection.
	h.Set("Transfer-Encoding", "identity")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for n := after + 1; n <= r.events; n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.interval):
		}
		if crashes(string(body), n) {
			// The process ends as in a crash: the kernel closes its connections.
			os.Exit(crashCode)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", n, n)
		_ = control.Flush()
	}
}

// crashes reports whether a request with this body crashes a replica at the event with number n.
func crashes(body string, n int) bool {
	_, at, ok := strings.Cut(body, crashAt)
	return ok && at == strconv.Itoa(n)
}
