package host

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// newMixedFleet returns a fleet whose replicas r0, r1, ... have the given software
// versions.
func newMixedFleet(t *testing.T, eventInterval time.Duration, versions ...string) *fleet {
	f := newEmptyFleet(t)
	for i, version := range versions {
		f.addReplica(fmt.Sprintf("r%d", i), version, eventInterval)
	}
	return f
}

// versionsIn returns the software versions that made the events in a text.
func versionsIn(text string) []string {
	var versions []string
	for _, match := range eventVersion.FindAllStringSubmatch(text, -1) {
		if len(versions) == 0 || versions[len(versions)-1] != match[1] {
			versions = append(versions, match[1])
		}
	}
	return versions
}

var eventVersion = regexp.MustCompile(`(v\d)e\d`)

func TestTruncatedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v1", "v2")
	f.replicas[0].SetFraming(platformtest.ResponseFraming{TruncateEvery: 1})
	a := f.start("a")
	for i := range 20 {
		got, err := call(a, fmt.Sprint("q", i))
		require.LessOrEqual(t, len(versionsIn(got.Body)), 1, "%s", got.Body)
		require.NoError(t, err, "two replicas of the version serve")
		require.Equal(t, 8, strings.Count(got.Body, "data: "))
	}
}

func TestTruncatedStreamIsNotJoinedWithAnotherSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v2")
	f.replicas[0].SetFraming(platformtest.ResponseFraming{TruncateEvery: 1})
	a := f.start("a")
	for i := range 20 {
		got, _ := call(a, fmt.Sprint("q", i))
		require.LessOrEqual(t, len(versionsIn(got.Body)), 1, "%s", got.Body)
	}
}

// The caller's connection breaks, and it takes the stream up at another host.
func TestCallerResumesStreamAtItsSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v2")
	a, b := f.start("a"), f.start("b")
	require.Eventually(t, func() bool { return len(a.view.Local()) == 2 && len(b.view.Local()) == 2 }, 10*time.Second, 10*time.Millisecond)
	for i := range 20 {
		origin := fmt.Sprint("q", i)
		got, err := call(a, origin)
		require.NoError(t, err)
		for n, h := range []*Host{b, a} {
			rest, err := platformtest.NewCaller().Resume(h.settings.Callers, "/s/x", fmt.Sprint(origin, "-", n), "body", origin, 4)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, rest.Status)
			require.Equal(t, versionsIn(got.Body), versionsIn(rest.Body), "resumed at %s", h.settings.Host)
			require.Equal(t, 4, strings.Count(rest.Body, "data: "))
		}
	}
}

func TestItemOutputHasOneSoftwareVersion(t *testing.T) {
	f := newMixedFleet(t, time.Millisecond, "v1", "v2")
	f.replicas[0].SetFraming(platformtest.ResponseFraming{TruncateEvery: 2})
	a := f.start("a")
	f.submit(a, "job", 20)
	require.Eventually(t, func() bool {
		outputs, err := platformtest.Results(a.settings.Callers, "job")
		return err == nil && len(outputs) == 20
	}, 20*time.Second, 50*time.Millisecond)
	outputs, err := platformtest.Results(a.settings.Callers, "job")
	require.NoError(t, err)
	for _, output := range outputs {
		require.Len(t, versionsIn(output), 1, "%s", output)
		require.Equal(t, 8, strings.Count(output, "e"))
	}
}
