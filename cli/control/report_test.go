package control

import (
	"encoding/xml"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/cli"
)

func TestReportIsOneWholePage(t *testing.T) {
	o := startOperated(t, 1)
	path := filepath.Join(o.folder, "report.html")
	o.Hosts[0].Node.Costs().Add("dispatch-llm", "crews", "answer_tokens", "", 1)
	_, errOut, code := o.run("report", "--for", "60ms", "--interval", "20ms", "-f", path)
	require.Zero(t, code, errOut)
	require.Contains(t, errOut, "sample 4 of 4: 1 hosts")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	html := string(text)
	require.Equal(t, 4, strings.Count(html, "<svg"))
	for _, outside := range []string{"<script", "<link", "src=", "@import", "<?xml"} {
		require.NotContains(t, html, outside, "the page must stand alone")
	}
	for _, caption := range []string{"Throughput", "Slots", "Cost", "Time to the end"} {
		require.Contains(t, html, caption)
	}
	_, first, _ := strings.Cut(html, "<svg")
	first, _, found := strings.Cut(first, "</svg>")
	require.True(t, found)
	checkXML(t, "<svg"+first+"</svg>")

	_, _, code = o.run("report", "--for", "1ms", "--interval", "1s", "-f", path)
	require.Equal(t, cli.ExitUsage, code)
}

func checkXML(t *testing.T, text string) {
	dec := xml.NewDecoder(strings.NewReader(text))
	for {
		if _, err := dec.Token(); err != nil {
			require.ErrorIs(t, err, io.EOF)
			return
		}
	}
}

func TestQuantile(t *testing.T) {
	at := func(counts ...float64) *sample {
		return &sample{buckets: map[float64]float64{0.1: counts[0], 0.2: counts[1], math.Inf(1): counts[2]}}
	}
	before := at(100, 100, 100)
	require.InDelta(t, 0.05, quantile(before, at(110, 110, 110), 0.5), 1e-9)
	require.InDelta(t, 0.15, quantile(before, at(100, 110, 110), 0.5), 1e-9)
	require.InDelta(t, 0.2, quantile(before, at(100, 100, 110), 0.5), 1e-9)
	require.True(t, math.IsNaN(quantile(before, before, 0.5)))
}
