package control

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/comfreyspindle/comfreyspindle/cli"
)

// Size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// legendRoom is the part of a plot's height that is added for its legend.
const legendRoom = 0.3

//go:embed report.html
var reportText string

var reportPage = template.Must(template.New("report").Parse(reportText))

// report is one run of the report command.
type report struct {
	path     string
	span     time.Duration
	interval time.Duration
	errOut   io.Writer
}

func newReportCommand(f *flags) *cobra.Command {
	r := &report{}
	cmd := &cobra.Command{
		Use: "report", Short: "Write a page with plots of latency, throughput, slots and cost", Args: cobra.NoArgs,
		Long:    "Read the metrics of all hosts for a short time and write one self-contained page.",
		Example: "  spindlectl report --for 30s -f report.html",
		RunE: func(cmd *cobra.Command, args []string) error {
			r.errOut = cmd.ErrOrStderr()
			return f.run(r.run)(cmd, args)
		},
	}
	cmd.Flags().StringVarP(&r.path, "file", "f", "report.html", "page to write")
	cmd.Flags().DurationVar(&r.span, "for", 10*time.Second, "time to sample")
	cmd.Flags().DurationVar(&r.interval, "interval", time.Second, "time between samples")
	return cmd
}

func (r *report) run(c *client, _ *printer, _ []string) error {
	if r.interval <= 0 || r.span < r.interval {
		return cli.WithCode(errors.New("--for must be at least --interval, and both above zero"), cli.ExitUsage)
	}
	samples, err := r.sample(c)
	if err != nil {
		return err
	}
	page, err := newPage(c.context.Name, samples)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := reportPage.Execute(&out, page); err != nil {
		return err
	}
	if err := os.WriteFile(r.path, out.Bytes(), 0o600); err != nil {
		return err
	}
	fmt.Fprintln(r.errOut, "wrote", r.path)
	return nil
}

// sample reads the metrics at each interval, and says how far it is.
func (r *report) sample(c *client) ([]*sample, error) {
	var out []*sample
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	n := int(r.span/r.interval) + 1
	for i := range n {
		s, err := c.take()
		if err != nil {
			return nil, err
		}
		out = append(out, s)
		fmt.Fprintf(r.errOut, "sample %d of %d: %d hosts\n", i+1, n, s.hosts)
		if i == n-1 {
			break
		}
		select {
		case <-c.ctx.Done():
			return nil, c.ctx.Err()
		case <-ticker.C:
		}
	}
	return out, nil
}

// page is what the report's template shows.
type page struct {
	Context  string
	From, To string
	Samples  int
	Hosts    int
	Missing  []string
	Plots    []figure
	Cost     []costCount
}

// figure is one plot.
type figure struct {
	Caption string
	SVG     template.HTML
}

// costCount is the cost of one kind.
type costCount struct {
	Kind  string
	Count int64
}

// series is one line of a plot.
type series struct {
	name  string
	value func(before, after *sample) float64
}

func perSecond(of func(s *sample) float64) func(before, after *sample) float64 {
	return func(before, after *sample) float64 {
		return (of(after) - of(before)) / after.at.Sub(before.at).Seconds()
	}
}

func newPage(context string, samples []*sample) (*page, error) {
	first, last := samples[0], samples[len(samples)-1]
	p := &page{
		Context: context, From: first.at.Format(time.RFC1123), To: last.at.Format(time.RFC1123),
		Samples: len(samples), Hosts: last.hosts, Missing: last.missing,
	}
	kinds := make([]string, 0, len(last.cost))
	for kind, n := range last.cost {
		kinds = append(kinds, kind)
		if spent := int64(n - first.cost[kind]); spent > 0 {
			p.Cost = append(p.Cost, costCount{kind, spent})
		}
	}
	slices.Sort(kinds)
	slices.SortFunc(p.Cost, func(a, b costCount) int { return bytes.Compare([]byte(a.Kind), []byte(b.Kind)) })
	var costs []series
	for _, kind := range kinds {
		costs = append(costs, series{kind, perSecond(func(s *sample) float64 { return s.cost[kind] })})
	}
	figures := []struct {
		caption, axis string
		lines         []series
	}{
		{"Time to the end of a request", "seconds", []series{
			{"median", func(b, a *sample) float64 { return quantile(b, a, 0.5) }},
			{"99th percentile", func(b, a *sample) float64 { return quantile(b, a, 0.99) }},
		}},
		{"Throughput", "requests a second", []series{
			{"answered", perSecond(func(s *sample) float64 { return s.answered })},
			{"failed or refused", perSecond(func(s *sample) float64 { return s.failed })},
		}},
		{"Slots", "requests", []series{
			{"running", func(_, a *sample) float64 { return a.running }},
			{"limit", func(_, a *sample) float64 { return a.limit }},
			{"waiting", func(_, a *sample) float64 { return a.waiting }},
		}},
		{"Cost", "a second", costs},
	}
	for _, f := range figures {
		svg, err := draws(f.axis, f.lines, samples)
		if err != nil {
			return nil, err
		}
		p.Plots = append(p.Plots, figure{f.caption, svg})
	}
	return p, nil
}

// draws returns a plot as SVG, to stand in the page.
func draws(axis string, lines []series, samples []*sample) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", axis
	p.Y.Min, p.Legend.Top = 0, true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		if err := addLine(p, i, l, samples); err != nil {
			return "", err
		}
	}
	// Room for the legend above the lines.
	p.Y.Max += legendRoom * (p.Y.Max - p.Y.Min)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The SVG element alone, without the XML declaration before it.
	text := out.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]), nil
}

func addLine(p *plot.Plot, i int, l series, samples []*sample) error {
	var points plotter.XYs
	for k := 1; k < len(samples); k++ {
		if y := l.value(samples[k-1], samples[k]); !math.IsNaN(y) {
			points = append(points, plotter.XY{X: samples[k].at.Sub(samples[0].at).Seconds(), Y: y})
		}
	}
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	line.Width = vg.Points(2)
	p.Add(line)
	p.Legend.Add(l.name, line)
	return nil
}
