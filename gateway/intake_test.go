package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/intake"
)

// Bodies that stop just short of their end were held without a bound on all of them.
func TestBodiesThatStopShortAreBounded(t *testing.T) {
	const limit, clients, bodyBytes = 4 << 20, 40, 1_000_000
	address, _ := startCountingUpstream(t)
	g := newGateway(t, testDocument(address))
	g.Intake = intake.NewBudget(limit, clockwork.NewRealClock(), logrus.NewEntry(quietLogger()))
	srv := httptest.NewServer(g.Handler())
	defer srv.Close()
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", apiKey, bodyBytes)
	var group sync.WaitGroup
	for range clients {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		group.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
			// The gateway may refuse the body and close the connection.
			_, _ = conn.Write([]byte(head + strings.Repeat("a", bodyBytes-1)))
		})
	}
	group.Wait()
	require.Eventually(t, func() bool {
		c := g.Intake.Counts()
		return c.Refused+c.Dropped > 0 && c.Used > 0
	}, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, g.Intake.Counts().Used, int64(limit))
	req, err := http.NewRequest(http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusOK, res.StatusCode)
}

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}
