package soak_test

import (
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/e2e/soak"
	"github.com/comfreyspindle/comfreyspindle/internal/porttest"
)

var (
	seeds  = flag.Int("soak.seeds", 0, "number of further seeds to play")
	from   = flag.Uint64("soak.from", 1, "first of the further seeds")
	length = flag.Duration("soak.length", 12*time.Second, "time over which faults begin")
	kinds  = flag.String("soak.kinds", "", "kinds of faults to play in place of those of CI, separated by commas")
	beside = flag.String("soak.beside", "", "paths of earlier builds of spindled that run beside the present one, separated by commas; each start of a host takes the next build")
	keep   = flag.String("soak.keep", "", "folder that keeps the logs and reports of seeds that break a promise")
)

// regressions are seeds that broke a promise once, with the cause.
var regressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
	// kinds are those of CI if there are none.
	kinds soak.Kinds
}{
	{1, 12 * time.Second, "none: the seed that CI always plays", nil},
	{205, 13 * time.Second, "a hang-up signal ended a process that was starting: signals were taken only once the host was built", nil},
	{1001, 25 * time.Second, "jobs without an owner: a take-over took effect after its host had taken it for failed", nil},
	{1021, 25 * time.Second, "the same, at a hand-over", nil},
	{1035, 25 * time.Second, "of the soak itself: a kill came after the faults were said to be over", nil},
	{2, 12 * time.Second, "none: a seed with customers, which fails if hosts accept keys without the bound", nil},
	{4, 12 * time.Second, "the same", nil},
	{6027, 12 * time.Second, "of the soak itself: a stop was expected to end in time while the host stood still", nil},
	{61000, 8 * time.Second, "a close-delimited stream that ended between two events was taken for complete", soak.Kinds{"end-between"}},
	{61001, 8 * time.Second, "the same, as the connections of killed replicas end in order", soak.Kinds{"orderly-crashes"}},
	{61002, 8 * time.Second, "a response after a close-delimited one was passed on as a part of it", soak.Kinds{"trailing"}},
	{61003, 8 * time.Second, "none: streams that break off and go on elsewhere", soak.Kinds{"end-within", "end-in-head", "reset", "fail-resumed", "refuse-resumed", "leaving-callers"}},
	{61004, 8 * time.Second, "none: kept connections", soak.Kinds{"copy", "garbage", "close-header", "full", "max-conns", "silent"}},
	{70101, 30 * time.Second, "hosts kept an old configuration: their connections for fetching it were silent", soak.Kinds{"silent-connections"}},
	{70111, 26 * time.Second, "brokers heard of a configuration late: their connections to the store were silent", soak.Kinds{"silent-connections"}},
}

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	if program, err = soak.BuildProgram(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestPromisesHoldForKnownSeeds(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed ", r.seed), func(t *testing.T) {
			t.Parallel()
			kinds := soak.CIKinds
			if len(r.kinds) > 0 {
				kinds = r.kinds
			}
			require.NoError(t, kinds.Validate())
			play(t, r.seed, r.length, kinds)
		})
	}
}

func TestPromisesHoldForFurtherSeeds(t *testing.T) {
	played := soak.CIKinds
	if *kinds != "" {
		played = soak.Kinds(strings.Split(*kinds, ","))
	}
	require.NoError(t, played.Validate())
	for n := range *seeds {
		seed := *from + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, *length, played)
		})
	}
}

func play(t *testing.T, seed uint64, length time.Duration, kinds soak.Kinds) {
	folder := t.TempDir()
	builds := []string{program}
	if *beside != "" {
		builds = append(builds, strings.Split(*beside, ",")...)
	}
	w, err := soak.NewWorld(builds, folder, soak.Ports{
		Free: func() string { return porttest.Free(t) },
		Pair: func() (string, int) { return freePair(t) },
	}, soak.HasCustomers(seed), kinds)
	require.NoError(t, err)
	defer w.Close()
	report, err := soak.Run(t.Context(), w, seed, length)
	require.NoError(t, err)
	t.Logf("seed %d: %d served, %d not, %d resumed, %d not, %d jobs, %d crashes, %d faults, %d of responses, %d runs went on, %d versions checked, %s", seed, report.Served, report.Failed, report.Resumed, report.NotResumed, report.Jobs, report.Crashes, len(report.Plan), report.Harmed, report.WentOn, report.VersionsChecked, report.Customers)
	if len(report.Violations) > 0 && *keep != "" {
		to := filepath.Join(*keep, fmt.Sprint(seed))
		require.NoError(t, os.MkdirAll(to, 0o755))
		require.NoError(t, os.CopyFS(to, os.DirFS(folder)))
		require.NoError(t, os.WriteFile(filepath.Join(to, "report"), []byte(report.String()), 0o600))
	}
	require.Empty(t, report.Violations, "%s", report)
}

// freePair returns an address with two free ports in a row.
func freePair(t *testing.T) (string, int) {
	for {
		ip, text, err := net.SplitHostPort(porttest.Free(t))
		require.NoError(t, err)
		port, err := strconv.Atoi(text)
		require.NoError(t, err)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port+1)))
		if err != nil {
			continue
		}
		require.NoError(t, l.Close())
		return ip, port
	}
}
