package control

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/configcheck"
)

// A script must be able to tell errors, warnings and wrong arguments apart by the exit
// code, and no output may hold a key.
func TestConfigCheckExitCodes(t *testing.T) {
	rows := []struct {
		name  string
		file  string
		flags []string
		code  int
		// out is a pattern of the output, and errOut a part of the error.
		out, errOut string
	}{
		{"nothing found", "in-force.json", nil, cli.ExitOK, "version 7: 0 errors, 0 warnings, 0 changes", ""},
		{"changes only", "key-removed.json", []string{"--in-force", "in-force.json"}, cli.ExitOK, `change: \S+\[1\] \(in force\): [0-9a-f]{8}: requests with this key .* \[key-removed\]`, ""},
		{"warning", "small-burst.json", nil, cli.ExitWarnings, `warning: \S+\[0\]\.burst: 0\.5: .* \[burst-below-one-request\]`, "has warnings"},
		{"error", "negative-rate.json", nil, cli.ExitFaults, `error: \S+\[0\]\.\S+: -5: .* \[fault\]`, "has errors"},
		{"same version", "in-force.json", []string{"--in-force", "in-force.json"}, cli.ExitFaults, "error: version: 7 -> 7: ", "has errors"},
		{"can't be decoded", "undecodable.json", nil, cli.ExitFaults, "error: version: string: ", "has errors"},
		{"one job does not fit", "in-force.json", []string{"--job-tokens", "60000"}, cli.ExitWarnings, `warning: routes\[1\]\.\S+: 50000: .* \[queue-below-one-job\]`, ""},
		{"quota above the replicas", "in-force.json", []string{"--replicas", "replicas.json", "--slot-time", "2s"}, cli.ExitWarnings, `warning: \S+\[0\]\.\S+: 5: .* \[quota-above-capacity\]`, ""},
		{"version in force can't be decoded", "in-force.json", []string{"--in-force", "undecodable.json"}, cli.ExitUsage, "", "undecodable.json"},
		{"no such file", "none.json", nil, cli.ExitUsage, "", "none.json"},
		{"replicas can't be decoded", "in-force.json", []string{"--replicas", "in-force.json"}, cli.ExitUsage, "", "in-force.json"},
		{"slot time alone", "in-force.json", []string{"--slot-time", "2s"}, cli.ExitUsage, "", "--replicas"},
	}
	o := &operated{contexts: "none"}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			args := []string{"config", "check", "-f", filepath.Join("testdata", row.file)}
			for _, f := range row.flags {
				if filepath.Ext(f) == ".json" {
					f = filepath.Join("testdata", f)
				}
				args = append(args, f)
			}
			out, errOut, code := o.run(args...)
			require.Equal(t, row.code, code, errOut)
			require.Regexp(t, row.out, out)
			require.Contains(t, errOut, row.errOut)
			require.NotContains(t, out+errOut, "secret")
		})
	}
}

// The report must be readable by scripts also when something is found.
func TestConfigCheckAsJSON(t *testing.T) {
	o := &operated{contexts: "none"}
	out, _, code := o.run("config", "check", "-f", "testdata/small-burst.json", "--in-force", "testdata/in-force.json", "-o", "json")
	require.Equal(t, cli.ExitWarnings, code)
	var report configReport
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.EqualValues(t, 8, report.Version)
	require.EqualValues(t, 7, *report.InForceVersion)
	require.Equal(t, []int{0, 1, 1}, []int{report.Errors, report.Warnings, report.Changes})
	lowered := report.Findings[1]
	require.Regexp(t, `\[0\]\.burst$`, lowered.Field)
	lowered.Field, lowered.Reason = "", ""
	require.Equal(t, configcheck.Finding{Severity: configcheck.Change, Rule: configcheck.RuleLowered, Value: "0.5", Previous: "5"}, lowered)

	out, _, _ = o.run("config", "check", "-f", "testdata/in-force.json", "-o", "json")
	require.Contains(t, out, `"findings": []`, "a script that goes through the findings needs no special case")
	_, errOut, code := o.run("config", "check", "-f", "testdata/in-force.json", "-o", "xml")
	require.Equal(t, cli.ExitUsage, code, errOut)
}

// The texts of findings go to terminals, which must not interpret what a file holds.
func TestFindingLineQuotesControlCharacters(t *testing.T) {
	line := findingLine(configcheck.Finding{Severity: configcheck.Warning, Rule: "r", Field: "f", Value: "\x1b[2J", Reason: "why"})
	require.Equal(t, `warning: f: "\x1b[2J": why [r]`, line)
}
