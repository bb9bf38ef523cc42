package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/settings"
)

// httpService runs an HTTP server as a suture.Service.
type httpService struct {
	name     string
	listener net.Listener
	server   *http.Server
}

func newHTTPService(name string, l net.Listener, h http.Handler, limits settings.Gateway) *httpService {
	return &httpService{name: name, listener: l, server: &http.Server{
		Handler: h, MaxHeaderBytes: limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
	}}
}

func (s *httpService) address() string { return s.listener.Addr().String() }

// String returns the name of the service in supervisor events.
func (s *httpService) String() string { return s.name }

// Serve implements suture.Service. After shutdown it returns only when ctx ends, so
// that the supervisor does not restart the server.
func (s *httpService) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve %s", s.name)
}

// shutdown closes the listener and waits for running requests until ctx ends.
func (s *httpService) shutdown(ctx context.Context) error {
	return errors.Wrapf(s.server.Shutdown(ctx), "shut down %s", s.name)
}

// loadTLS returns the configuration of mutual TLS, or nil if the settings name no
// certificates.
func loadTLS(s *settings.Settings) (*tls.Config, error) {
	t := s.TLS
	if !t.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, s.At("tls.certificate"))
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, errors.Wrap(err, s.At("tls.authority"))
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s: no PEM certificate found in %s", s.At("tls.authority"), t.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
