// Package crowd_test presses one host, as a process, with clients that don't keep to the limits.
package crowd_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/e2e/soak"
	"github.com/comfreyspindle/comfreyspindle/internal/porttest"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/kv/txn/txntest"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/platform/platformtest"
)

// Limits of the host's machine, which are those of a small one but for the descriptors, and of a
// request.
const (
	memoryMB       = 144
	maxDescriptors = 400
	bodyBytes      = 4 << 20
	headerBytes    = 16 << 10
)

// Times of the tests. None is a bound of what is tested.
const (
	startTimeout = 30 * time.Second
	// crowdTimeout bounds what a client of the crowd writes; the host may close its connection
	// or read no further.
	crowdTimeout  = 10 * time.Second
	callerTimeout = 30 * time.Second
	// settleTime is the time without growth after which the process has read all that it reads.
	settleTime = 500 * time.Millisecond
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
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

// A crowd of clients that exceed the limits, or stop short of their end, ended the process.
func TestHostOutlivesCrowd(t *testing.T) {
	callers := func(h *host) string { return h.settings.Callers }
	for _, row := range []struct {
		name    string
		clients int
		address func(h *host) string
		client  client
	}{
		{"bodies with a length", 100, callers, body(bodyHead("/s/x", 4_000_000), 4_000_000-1, 1<<20)},
		{"bodies piece by piece", 100, callers, body(bodyHead("/s/x", 4_000_000), 4_000_000-1, 16<<10)},
		{"bodies in large chunks", 100, callers, chunks(64<<10, 3_900_000)},
		{"bodies in small chunks", 100, callers, chunks(32, 1_000_000)},
		{"jobs", 100, callers, body(bodyHead("/b/x", 4_000_000), 4_000_000-1, 1<<20)},
		{"heads without end", 200, callers, body(requestHead, 900_000, 16<<10, "X-More: aaaaaaaaaaaaaaaaaaaaaa\r\n")},
		{"heads over the limit", 200, callers, body(requestHead, 900_000, 16<<10, "X-More: aaaaaaaaaaaaaaaaaaaaaa\r\n", "\r\n")},
		{"empty lines", 200, callers, body("", 1_000_000, 16<<10, "\r\n")},
		{"connections", 600, callers, body("POST /s/x", 0, 1)},
		{"messages of peers", 100, func(h *host) string { return h.settings.Peers }, body(gobHead(400<<20), 4_000_000, 1<<20)},
		{"heads of operators", 200, func(h *host) string { return h.settings.Metrics }, body(requestHead, 900_000, 16<<10, "X-More: aaaaaaaaaaaaaaaaaaaaaa\r\n")},
		{"heads of the balancer", 200, func(h *host) string { return h.settings.Ready }, body(requestHead, 900_000, 16<<10, "X-More: aaaaaaaaaaaaaaaaaaaaaa\r\n")},
		{"connections of operators", 600, func(h *host) string { return h.settings.Metrics }, body("GET /metr", 0, 1)},
		{"connections of peers", 600, func(h *host) string { return h.settings.Peers }, body(gobHead(100), 0, 1)},
	} {
		t.Run(strings.ReplaceAll(row.name, " ", "_"), func(t *testing.T) {
			h := start(t)
			press(t, row.address(h), row.clients, row.client)
			h.settle(t)
			h.requireServing(t)
		})
	}
}

// Jobs of the largest size that are accepted one after the other ended the process, too.
func TestHostOutlivesWholeJobs(t *testing.T) {
	h := start(t)
	t.Log("accepted", submitWholeJobs(h))
	h.settle(t)
	h.requireServing(t)
}

// submitWholeJobs submits 100 jobs of 2.4 MB, two at once, and returns the number of those that
// were accepted.
func submitWholeJobs(h *host) int64 {
	const jobs, atOnce, items, itemBytes = 100, 2, 40, 60_000
	var group sync.WaitGroup
	var accepted atomic.Int64
	for worker := range atOnce {
		group.Go(func() {
			c := &platformtest.Caller{HTTP: &http.Client{Timeout: callerTimeout}, Timeout: callerTimeout}
			for n := range jobs / atOnce {
				// A job may be accepted or refused, or its connection closed.
				if r, err := c.SubmitBodies(h.settings.Callers, fmt.Sprintf("job-%d-%d", worker, n), items, itemBytes); err == nil && r.Status == http.StatusAccepted {
					accepted.Add(1)
				}
			}
		})
	}
	group.Wait()
	return accepted.Load()
}

// Bounds that hold for each kind of crowd alone add up to more than the machine has.
func TestHostOutlivesAllCrowdsAtOnce(t *testing.T) {
	h := start(t)
	var group sync.WaitGroup
	group.Go(func() { submitWholeJobs(h) })
	for _, crowd := range []struct {
		clients int
		address string
		client  client
	}{
		{100, h.settings.Callers, body(bodyHead("/s/x", 4_000_000), 4_000_000-1, 16<<10)},
		{100, h.settings.Callers, chunks(64<<10, 3_900_000)},
		{200, h.settings.Callers, body(requestHead, 900_000, 16<<10, "X-More: aaaaaaaaaaaaaaaaaaaaaa\r\n")},
		{100, h.settings.Peers, body(gobHead(1<<20), 1<<20-1, 16<<10)},
		{200, h.settings.Metrics, body(requestHead, 900_000, 16<<10, "X-More: aaaaaaaaaaaaaaaaaaaaaa\r\n")},
	} {
		group.Go(func() { press(t, crowd.address, crowd.clients, crowd.client) })
	}
	group.Wait()
	h.settle(t)
	h.requireServing(t)
}

// client is one of a crowd: it returns the next bytes that it sends, or none at its end. It
// keeps its connection open then.
type client func(turn int) []byte

var requestHead = platformtest.RequestHead("/s/x")

func bodyHead(path string, length int) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", platformtest.RequestHead(path), length)
}

// gobHead begins a message of a peer that has a number of bytes.
func gobHead(bytes uint32) string {
	return string([]byte{0xfc, byte(bytes >> 24), byte(bytes >> 16), byte(bytes >> 8), byte(bytes)})
}

// body returns a client that sends a head, a number of bytes in pieces, and an end. The bytes
// repeat a text.
func body(head string, bytes, piece int, texts ...string) client {
	text, end := "a", ""
	if len(texts) > 0 {
		text = texts[0]
	}
	if len(texts) > 1 {
		end = texts[1]
	}
	pieces := (bytes + piece - 1) / piece
	full := []byte(strings.Repeat(text, piece/len(text)+1))
	return func(turn int) []byte {
		switch {
		case turn == 0 && head != "":
			return []byte(head)
		case head == "":
			turn++
		}
		switch rest := bytes - (turn-1)*piece; {
		case turn <= pieces:
			return full[:min(piece, rest)/len(text)*len(text)]
		case turn == pieces+1:
			return []byte(end)
		}
		return nil
	}
}

// chunks returns a client that sends a body in chunks of a size, without the last one.
func chunks(size, bytes int) client {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("a", size))
	const perTurn = 64 << 10
	some := []byte(strings.Repeat(chunk, max(1, perTurn/size)))
	turns := bytes / (max(1, perTurn/size) * size)
	return func(turn int) []byte {
		switch {
		case turn == 0:
			return []byte(requestHead + "Transfer-Encoding: chunked\r\n\r\n")
		case turn <= turns:
			return some
		}
		return nil
	}
}

// press lets a crowd send, and returns when each of its clients has sent all, or can't send
// more. The connections stay open until the test ends.
func press(t *testing.T, address string, clients int, c client) {
	var group sync.WaitGroup
	for range clients {
		conn, err := net.DialTimeout("tcp", address, crowdTimeout)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = conn.Close() })
		group.Go(func() {
			for turn := 0; ; turn++ {
				piece := c(turn)
				if len(piece) == 0 {
					return
				}
				_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
		})
	}
	group.Wait()
}

// host is a host as a process, with a store and a replica in the test.
type host struct {
	settings *platform.Settings
	command  *exec.Cmd
	ended    chan struct{}
}

func start(t *testing.T) *host {
	store := txntest.NewStore()
	server := httptest.NewServer(platformtest.StoreHandler(store))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	replica := platformtest.NewReplica("r0", 8, time.Millisecond)
	t.Cleanup(replica.Close)
	for _, w := range []txn.Write{configuration(t), replica.Record("svc", "dc", "ready", 8)} {
		_, err := store.Commit(t.Context(), txn.Request{Writes: []txn.Write{w}})
		require.NoError(t, err)
	}
	h := &host{settings: &platform.Settings{
		Host: "h", DataCentre: "dc", Region: "r", Callers: porttest.Free(t), Ready: porttest.Free(t), Peers: porttest.Free(t),
		Metrics: porttest.Free(t), Store: strings.TrimPrefix(server.URL, "http://"), StopTimeout: 8 * time.Second,
		ResultRetention: time.Minute, ConfigTimeout: 2500 * time.Millisecond, DrainTimeout: 2500 * time.Millisecond,
	}, ended: make(chan struct{})}
	h.startProcess(t)
	require.Eventually(t, h.answers, startTimeout, 50*time.Millisecond)
	return h
}

// configuration returns a configuration with the limits that callers are told.
func configuration(t *testing.T) txn.Write {
	w := platformtest.Config("svc")
	var config map[string]any
	require.NoError(t, json.Unmarshal(w.Value, &config))
	config["limits"] = map[string]any{"header_bytes": headerBytes, "body_bytes": bodyBytes, "header_ms": 3000, "idle_ms": 15000}
	value, err := json.Marshal(config)
	require.NoError(t, err)
	w.Value = value
	return w
}

func (h *host) startProcess(t *testing.T) {
	ip, text, err := net.SplitHostPort(h.settings.Metrics)
	require.NoError(t, err)
	metricsPort, err := strconv.Atoi(text)
	require.NoError(t, err)
	settings := platformtest.SettingsFile(h.settings, ip, metricsPort)
	limits := fmt.Sprintf(`{"limits":{"cpu_cores":2,"memory_mb":%d,"max_fds":%d},`, memoryMB, maxDescriptors)
	settings = []byte(strings.Replace(string(settings), "{", limits, 1))
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, settings, 0o600))
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	h.command = exec.Command(program, "edge")
	h.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = soak.OwnGroup()
	require.NoError(t, h.command.Start())
	go func() { _ = h.command.Wait(); close(h.ended) }()
	t.Cleanup(func() {
		_ = h.command.Process.Kill()
		<-h.ended
		_ = log.Close()
	})
}

// answers reports whether an ordinary request gets its answer.
func (h *host) answers() bool {
	c := &platformtest.Caller{HTTP: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}, Timeout: callerTimeout}
	r, err := c.Call(h.settings.Callers, http.MethodPost, "/o/x", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()), "ordinary")
	return err == nil && r.Status == http.StatusOK && r.Seal != ""
}

// requireServing requires that the process lives, within its machine's memory and descriptors,
// and answers one ordinary request.
func (h *host) requireServing(t *testing.T) {
	descriptors := h.descriptors(t)
	peak := h.peakMemoryKB(t)
	t.Logf("peak %d MB, %d descriptors", peak>>10, descriptors)
	require.Less(t, descriptors, maxDescriptors)
	require.Less(t, peak, memoryMB<<10, "peak of resident memory in kB")
	require.True(t, h.answers(), "an ordinary request gets its answer")
	require.Less(t, h.peakMemoryKB(t), memoryMB<<10, "peak of resident memory in kB")
}

// settle waits until the process's memory has stopped growing.
func (h *host) settle(t *testing.T) {
	peak, since := 0, time.Now()
	for time.Since(since) < settleTime {
		if now := h.peakMemoryKB(t); now > peak {
			peak, since = now, time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *host) descriptors(t *testing.T) int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
	require.NoError(t, err, "the process lives")
	return len(open)
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

func (h *host) peakMemoryKB(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	require.NoError(t, err, "the process lives")
	found := peakMemory.FindSubmatch(status)
	require.NotNil(t, found, "the process lives")
	peak, err := strconv.Atoi(string(found[1]))
	require.NoError(t, err)
	return peak
}

// What honest callers send was not to be refused by the bounds that keep crowds out.
func TestHonestRequestsGetThroughInCalm(t *testing.T) {
	h := start(t)
	const piece, pause = 128 << 10, 20 * time.Millisecond
	request := platformtest.RequestHead("/o/x")
	for _, row := range []struct {
		name  string
		head  string
		piece string
		end   string
	}{
		{"a slow body of the largest size", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), strings.Repeat("a", piece), ""},
		{"a slow one in chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("a", piece)), "0\r\n\r\n"},
		{"a large head", fmt.Sprintf("X-More: %s\r\nContent-Length: %d\r\n", strings.Repeat("a", headerBytes-1<<10), bodyBytes), strings.Repeat("a", piece), ""},
	} {
		t.Run(strings.ReplaceAll(row.name, " ", "_"), func(t *testing.T) {
			conn, err := net.Dial("tcp", h.settings.Callers)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(callerTimeout)))
			_, err = conn.Write([]byte(request + row.head + "\r\n"))
			require.NoError(t, err)
			for range bodyBytes / piece {
				time.Sleep(pause)
				_, err = conn.Write([]byte(row.piece))
				require.NoError(t, err)
			}
			_, err = conn.Write([]byte(row.end))
			require.NoError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer func() { _ = res.Body.Close() }()
			require.Equal(t, http.StatusOK, res.StatusCode)
		})
	}
}
