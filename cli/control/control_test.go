package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/admin"
	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// operated is a fleet with a file of contexts and one of its service document.
type operated struct {
	*fleet.Fleet
	folder   string
	contexts string
	document string
}

func startOperated(t *testing.T, hosts int) *operated {
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	f, err := fleet.Start(fleet.Spec{
		Places:    []fleet.Place{{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: hosts}},
		Documents: []*service.Document{doc},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	o := &operated{Fleet: f, folder: t.TempDir()}
	o.contexts = o.write(t, "contexts.yaml", fmt.Sprintf(
		"current: kyushu\ncontexts:\n- {name: kyushu, addresses: [%q, %q], token_file: %q}\n- {name: denied, addresses: [%q], token_file: %q}\n",
		"127.0.0.1:1", f.Hosts[0].Node.OperatorsAddress(), o.write(t, "token", fleet.OperatorToken+"\n"),
		f.Hosts[0].Node.OperatorsAddress(), o.write(t, "wrong", "wrong")))
	o.document = filepath.Join(o.folder, "service.yaml")
	return o
}

func (o *operated) write(t *testing.T, name, text string) string {
	path := filepath.Join(o.folder, name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs a command and returns its output, its errors and its exit code.
func (o *operated) run(args ...string) (out, errOut string, code int) {
	var stdout, stderr bytes.Buffer
	cmd := newCommand()
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetOut(&stdout)
	cmd.SetErr(&stderr)
	cmd.SetArgs(append([]string{"--contexts", o.contexts}, args...))
	err := cmd.ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(&stderr, err)
	}
	return stdout.String(), stderr.String(), cli.Code(err)
}

func (o *operated) ok(t *testing.T, args ...string) string {
	out, errOut, code := o.run(args...)
	require.Zero(t, code, "%v: %s", args, errOut)
	return out
}

func TestServiceCommands(t *testing.T) {
	o := startOperated(t, 1)
	require.Contains(t, o.ok(t, "service", "list"), "dispatch-llm")
	text := o.ok(t, "service", "get", "dispatch-llm")
	o.write(t, "service.yaml", text)
	require.Empty(t, o.ok(t, "service", "diff", "-f", o.document))

	edited := strings.Replace(text, "concurrency: 24", "concurrency: 8", 1)
	edited = strings.Replace(edited, "max_tries: 3", "max_tries: 2", 1)
	require.NotEqual(t, text, edited)
	o.write(t, "service.yaml", edited)
	out, _, code := o.run("service", "diff", "-f", o.document)
	require.Equal(t, cli.ExitConflict, code)
	require.Contains(t, out, "concurrency: 8")

	out, errOut, code := o.run("service", "apply", "-f", o.document, "--dry-run")
	require.Zero(t, code, errOut)
	require.Regexp(t, `(?m)^\+.*concurrency: 8$`, out)
	require.Contains(t, o.ok(t, "service", "get", "dispatch-llm"), "concurrency: 24", "a dry run changes nothing")

	_, errOut, code = o.run("service", "apply", "-f", o.document, "--wait", "--timeout", "10s")
	require.Zero(t, code, errOut)
	require.Contains(t, errOut, "in force on 1 of 1 hosts")
	require.Contains(t, o.ok(t, "service", "get", "dispatch-llm"), "concurrency: 8")

	_, errOut, code = o.run("service", "apply", "-f", o.document)
	require.Equal(t, cli.ExitConflict, code, "the file is based on the generation before")
	require.Contains(t, errOut, "--based-on 2")

	o.ok(t, "service", "rollback", "dispatch-llm", "--to", "1", "--wait")
	require.Contains(t, o.ok(t, "service", "get", "dispatch-llm"), "concurrency: 24")
	require.Regexp(t, `(?s)\n3 .*\n2 .*\n1 `, o.ok(t, "service", "history", "dispatch-llm"))
	_, _, code = o.run("service", "rollback", "dispatch-llm", "--to", "9")
	require.Equal(t, cli.ExitNotFound, code)

	bare := strings.Replace(text, "generation: 1", "generation: 3", 1)
	at := strings.Index(bare, "upstreams:")
	require.Positive(t, at)
	head, tail := bare[:at], bare[at:]
	_, tail, _ = strings.Cut(tail, "\nclasses:")
	o.write(t, "service.yaml", head+"upstreams: []\nclasses:"+tail)
	_, errOut, code = o.run("service", "apply", "-f", o.document, "--dry-run")
	require.Zero(t, code, errOut)
	require.Contains(t, errOut, "takes away the last upstream")
}

func TestExitCodesAndAdvice(t *testing.T) {
	o := startOperated(t, 1)
	bad := o.write(t, "bad.yaml", "name: [")
	cases := []struct {
		args   []string
		code   int
		advice string
	}{
		{[]string{"service", "get", "none"}, cli.ExitNotFound, "no service none"},
		{[]string{"explain", "none"}, cli.ExitNotFound, "overwritten"},
		{[]string{"job", "get", "none"}, cli.ExitNotFound, "none"},
		{[]string{"jobs", "--service", "none"}, cli.ExitNotFound, "none"},
		{[]string{"service", "apply", "-f", bad}, cli.ExitUsage, "bad.yaml"},
		{[]string{"timeline", "--since", "yesterday"}, cli.ExitUsage, "10m"},
		{[]string{"hosts", "-o", "xml"}, cli.ExitUsage, "table, json, yaml"},
		{[]string{"cost", "--by", "moon"}, cli.ExitUsage, "data-centre"},
		{[]string{"hosts", "--context", "denied"}, cli.ExitDenied, "token file"},
		{[]string{"hosts", "--context", "none"}, cli.ExitUsage, "context list"},
		{[]string{"hosts", "--address", "127.0.0.1:1"}, cli.ExitUsage, "--token-file"},
		{[]string{"hosts", "--address", "127.0.0.1:1", "--token-file", filepath.Join(o.folder, "token")}, cli.ExitUnreachable, "check its addresses"},
	}
	for _, c := range cases {
		_, errOut, code := o.run(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, errOut)
		require.Contains(t, errOut, c.advice, "%v", c.args)
	}
}

func TestViews(t *testing.T) {
	o := startOperated(t, 1)
	o.Hosts[0].Node.Events().Record(timeline.Event{
		Request: "r-1", Kind: "request.sent", Upstream: "u1", Cause: "lower score",
		Scores: []timeline.Score{{Upstream: "u1", Score: 1}, {Upstream: "u2", Score: 2.5}},
	})
	explained := o.ok(t, "explain", "r-1")
	require.Contains(t, explained, "chose u1: lower score")
	require.Regexp(t, `u2\s+2.5`, explained)
	require.Contains(t, o.ok(t, "timeline", "--request", "r-1", "--since", "1h"), `cause="lower score"`)
	var story timeline.MergedTimeline
	require.NoError(t, json.Unmarshal([]byte(o.ok(t, "timeline", "--request", "r-1", "-o", "json")), &story))
	require.Len(t, story.Events, 1)

	o.Hosts[0].Node.Costs().Add("dispatch-llm", "crews", "answer_tokens", "", 42)
	require.Regexp(t, `dispatch-llm\s+crews\s+answer_tokens\s+42`, o.ok(t, "cost"))
	require.Regexp(t, `dispatch-llm\s+fukuoka-hakata\s+answer_tokens`, o.ok(t, "cost", "--by", "data-centre"))
	require.Contains(t, o.ok(t, "hosts"), "fukuoka-hakata-1")
	require.Contains(t, o.ok(t, "hosts", "-o", "yaml"), "ready: true")
	require.Contains(t, o.ok(t, "upstreams"), "UPSTREAM")
	require.Contains(t, o.ok(t, "jobs", "--service", "dispatch-llm"), "STATUS")
	require.Contains(t, o.ok(t, "context", "list"), "denied")
	o.ok(t, "context", "use", "denied")
	_, _, code := o.run("hosts")
	require.Equal(t, cli.ExitDenied, code)
	require.Contains(t, o.ok(t, "completion", "bash"), "spindlectl")
	require.Contains(t, o.ok(t, "__complete", "service", "get", "--context", "kyushu", ""), "dispatch-llm")
}

// TestLostHostIsNamed: a host that was lost is in every answer that its part is
// missing from, also after membership has dropped it.
func TestLostHostIsNamed(t *testing.T) {
	o := startOperated(t, 3)
	lost := o.Hosts[2].Settings.Host
	require.Eventually(t, func() bool {
		return strings.Count(o.ok(t, "hosts"), " true ") == 3
	}, 20*time.Second, 20*time.Millisecond, "all hosts see each other")
	o.Hosts[2].Kill()
	for _, args := range [][]string{{"timeline"}, {"cost"}, {"upstreams"}} {
		require.Contains(t, o.ok(t, args...), "missing: "+lost, "%v", args)
	}
	require.Eventually(t, func() bool {
		return strings.Contains(o.ok(t, "timeline"), "missing: "+lost+": the host is gone")
	}, 20*time.Second, 50*time.Millisecond, "membership drops the host")
	o.write(t, "service.yaml", o.ok(t, "service", "get", "dispatch-llm"))
	_, errOut, code := o.run("service", "apply", "-f", o.document, "--wait", "--timeout", "100ms")
	require.Equal(t, cli.ExitFailure, code)
	require.Contains(t, errOut, "behind: "+lost)
}

func TestBehindHostsAreNamed(t *testing.T) {
	hosts := []admin.HostStatus{
		{Host: membership.Host{Name: "a"}, Generations: map[string]uint64{"s": 3}},
		{Host: membership.Host{Name: "b"}, Generations: map[string]uint64{"s": 2}},
		{Host: membership.Host{Name: "c"}, Missing: "the host can't be reached"},
	}
	require.Equal(t, []string{"b", "c (the host can't be reached)"}, behindHosts(hosts, "s", 3))
}

func TestTableFitsTheTerminal(t *testing.T) {
	tab := table{head: []string{"NAME", "WHY"}}
	tab.add("h1", strings.Repeat("long ", 40))
	tab.add("hé2", "short")
	for _, width := range []int{40, 80, 200} {
		var out bytes.Buffer
		require.NoError(t, tab.write(&out, width))
		for _, l := range strings.Split(out.String(), "\n") {
			require.LessOrEqual(t, len([]rune(l)), width)
		}
	}
}

func TestFollowNamesHostsThatGoAndComeBack(t *testing.T) {
	var out bytes.Buffer
	p, err := newPrinter(&out, "table")
	require.NoError(t, err)
	away := make(map[string]string)
	gone := &timeline.MergedTimeline{Missing: []timeline.Missing{{Host: "b", Reason: "gone"}}}
	for _, s := range []*timeline.MergedTimeline{gone, gone, {}} {
		require.NoError(t, printStory(p, s, away))
	}
	require.Equal(t, "missing: b: gone\nback: b\n", out.String())
}

func TestSince(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	text, err := sinceTime("10m", now)
	require.NoError(t, err)
	require.Equal(t, "2026-01-01T11:50:00Z", text)
}
