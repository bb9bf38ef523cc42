package jobs

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/forward"
)

// grantNext grants a slot once an item waits for one.
func (h *testHost) grantNext(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return len(h.Demand(false)) > 0 }, 3*time.Second, time.Millisecond)
	h.grantSlot()
}

// requireOutput lets the replicas answer properly and requires that the item is done with
// its whole output.
func (c *cluster) requireOutput(t *testing.T, h *testHost) {
	t.Helper()
	h.flushNow(t)
	require.Empty(t, c.results("a", 0), "the item is done with another text than its output")
	h.replicas.answer = answerInFull
	h.grantNext(t)
	h.flushNow(t)
	require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("a", 0))
}

// A replica answers with status 200 and the page of a proxy or an error in JSON.
func TestOutputMustBeAnEventStream(t *testing.T) {
	for _, contentType := range []string{"", "text/html; charset=utf-8", "application/json", "text/event-streams"} {
		t.Run(contentType, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			a.replicas.answer = func(*forward.Request, forward.SendArgs) (*forward.Response, error) {
				res := answer(http.StatusOK, strings.NewReader(""))
				res.Header.Set("Content-Type", contentType)
				return res, nil
			}
			a.grantNext(t)
			c.requireOutput(t, a)
		})
	}
}
