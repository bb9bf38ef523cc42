package kvtest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// Server serves the HTTP interface of a Store on a loopback address.
type Server struct {
	*httptest.Server
	store *Store
}

// NewServer starts a server for s on a free port. It must be closed after use.
func NewServer(s *Store) *Server {
	srv := &Server{store: s}
	srv.Server = httptest.NewServer(Handler(s))
	return srv
}

// Handler returns a handler with the HTTP interface of s.
func Handler(s *Store) http.Handler {
	srv := &Server{store: s}
	mux := http.NewServeMux()
	mux.HandleFunc(kv.PathKeys, srv.keys)
	mux.HandleFunc(kv.PathWatch, srv.watch)
	return mux
}

// Address returns the server's IP address and port.
func (srv *Server) Address() string { return srv.Listener.Addr().String() }

func (srv *Server) keys(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), kv.PathKeys))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	store := srv.store.Host(r.Header.Get(kv.HeaderHost))
	switch r.Method {
	case http.MethodGet:
		e, err := store.Get(r.Context(), key)
		reply(w, e.Version, e.Value, err)
	case http.MethodPut:
		put, err := putOf(key, r)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		v, err := store.Put(r.Context(), put)
		reply(w, v, nil, err)
	case http.MethodDelete:
		v, err := kv.ParseEntityTag(r.Header.Get("If-Match"))
		if err != nil {
			w.WriteHeader(http.StatusPreconditionRequired)
			return
		}
		reply(w, 0, nil, store.Delete(r.Context(), key, v))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func putOf(key string, r *http.Request) (kv.Put, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, kv.MaxValueBytes+1))
	if err != nil {
		return kv.Put{}, err
	}
	put := kv.Put{Key: key, Value: body}
	if tag := r.Header.Get("If-Match"); tag != "" {
		if put.If, err = kv.ParseEntityTag(tag); err != nil {
			return kv.Put{}, err
		}
	}
	if ms := r.URL.Query().Get(kv.ParamTTL); ms != "" {
		n, err := strconv.ParseInt(ms, 10, 64)
		if err != nil {
			return kv.Put{}, err
		}
		put.TTL = time.Duration(n) * time.Millisecond
	}
	return put, nil
}

func (srv *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get(kv.ParamAfter), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get(kv.ParamWait), 10, 64)
	prefix, err3 := strconv.ParseBool(q.Get(kv.ParamPrefix))
	if err := errors.Join(err1, err2, err3); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	store := srv.store.Host(r.Header.Get(kv.HeaderHost))
	changes, err := store.Watch(r.Context(), kv.Watch{
		Key: q.Get(kv.ParamKey), Prefix: prefix,
		After: kv.Version(after), Wait: time.Duration(wait) * time.Millisecond,
	})
	if err != nil {
		reply(w, 0, nil, err)
		return
	}
	_ = json.NewEncoder(w).Encode(changes)
}

var statuses = []struct {
	err    error
	status int
}{
	{kv.ErrConflict, http.StatusPreconditionFailed},
	{kv.ErrNotFound, http.StatusNotFound},
	{kv.ErrUnreachable, http.StatusServiceUnavailable},
	{kv.ErrLimited, http.StatusTooManyRequests},
	{kv.ErrTooLarge, http.StatusRequestEntityTooLarge},
	{kv.ErrCompacted, http.StatusGone},
}

func reply(w http.ResponseWriter, v kv.Version, body []byte, err error) {
	if errors.Is(err, kv.ErrUnknown) {
		// ErrAbortHandler closes the connection without a reply, which simulates
		// a lost one.
		panic(http.ErrAbortHandler)
	}
	for _, row := range statuses {
		if errors.Is(err, row.err) {
			w.WriteHeader(row.status)
			return
		}
	}
	if v != 0 {
		w.Header().Set("ETag", kv.EntityTag(v))
	}
	_, _ = w.Write(body)
}
