package soak_test

import (
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
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
	keep   = flag.String("soak.keep", "", "folder that keeps the logs and reports of seeds that break a promise")
)

// regressions are seeds that broke a promise once, with the cause.
var regressions = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{1, 12 * time.Second, "none: the seed that CI always plays"},
	{205, 13 * time.Second, "a hang-up signal ended a process that was starting: signals were taken only once the host was built"},
	{1001, 25 * time.Second, "jobs without an owner: a take-over took effect after its host had taken it for failed"},
	{1021, 25 * time.Second, "the same, at a hand-over"},
	{1035, 25 * time.Second, "of the soak itself: a kill came after the faults were said to be over"},
	{2, 12 * time.Second, "none: a seed with customers, which fails if hosts accept keys without the bound"},
	{4, 12 * time.Second, "the same"},
	{6027, 12 * time.Second, "of the soak itself: a stop was expected to end in time while the host stood still"},
}

var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "spindled")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/spindled").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestPromisesHoldForKnownSeeds(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint("seed ", r.seed), func(t *testing.T) {
			t.Parallel()
			play(t, r.seed, r.length)
		})
	}
}

func TestPromisesHoldForFurtherSeeds(t *testing.T) {
	for n := range *seeds {
		seed := *from + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, *length)
		})
	}
}

func play(t *testing.T, seed uint64, length time.Duration) {
	folder := t.TempDir()
	w, err := soak.NewWorld(program, folder, soak.Ports{
		Free: func() string { return porttest.Free(t) },
		Pair: func() (string, int) { return freePair(t) },
	}, soak.HasCustomers(seed))
	require.NoError(t, err)
	defer w.Close()
	report, err := soak.Run(t.Context(), w, seed, length)
	require.NoError(t, err)
	t.Logf("seed %d: %d served, %d not, %d resumed, %d not, %d jobs, %d crashes, %d faults, %s", seed, report.Served, report.Failed, report.Resumed, report.NotResumed, report.Jobs, report.Crashes, len(report.Plan), report.Customers)
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
