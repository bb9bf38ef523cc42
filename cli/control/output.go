package control

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
	"golang.org/x/term"

	"github.com/comfreyspindle/comfreyspindle/cli"
)

// formats are the values of --output.
var formats = []string{"table", "json", "yaml"}

// printer prints answers in the wanted format.
type printer struct {
	w      io.Writer
	format string
	// width is the terminal's, in columns; zero is not a terminal.
	width int
}

func newPrinter(w io.Writer, format string) (*printer, error) {
	if !slices.Contains(formats, format) {
		return nil, cli.WithCode(errors.Newf("--output is %q; it must be one of %s", format, strings.Join(formats, ", ")), cli.ExitUsage)
	}
	p := &printer{w: w, format: format}
	if f, ok := w.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		p.width, _, _ = term.GetSize(int(f.Fd()))
	}
	return p, nil
}

// print prints the value, or its table.
func (p *printer) print(value any, t *table) error {
	switch p.format {
	case "json":
		enc := json.NewEncoder(p.w)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	case "yaml":
		return writeYAML(p.w, value)
	default:
		return t.write(p.w, p.width)
	}
}

// writeYAML writes a value with the names that it has in JSON.
func writeYAML(w io.Writer, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var tree any
	if err := yaml.Unmarshal(text, &tree); err != nil {
		return err
	}
	return yaml.NewEncoder(w).Encode(tree)
}

// note prints a remark under a table.
func (p *printer) note(format string, args ...any) {
	if p.format == "table" {
		fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// table is a table of text.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// Sizes of a table, in columns.
const (
	columnGap      = 2
	minColumnWidth = 8
)

// write prints the table. While it is wider than the terminal, its widest
// column is narrowed.
func (t *table) write(w io.Writer, terminal int) error {
	widths := t.widths()
	for terminal > 0 && total(widths) > terminal {
		widest := 0
		for i := range widths {
			if widths[i] > widths[widest] {
				widest = i
			}
		}
		if widths[widest] <= minColumnWidth {
			break
		}
		widths[widest]--
	}
	for _, row := range append([][]string{t.head}, t.rows...) {
		if _, err := io.WriteString(w, line(row, widths)); err != nil {
			return err
		}
	}
	return nil
}

func (t *table) widths() []int {
	widths := make([]int, len(t.head))
	for _, row := range append([][]string{t.head}, t.rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}

func total(widths []int) int {
	sum := columnGap * (len(widths) - 1)
	for _, w := range widths {
		sum += w
	}
	return sum
}

func line(row []string, widths []int) string {
	var b strings.Builder
	for i, cell := range row {
		if runes := []rune(cell); len(runes) > widths[i] {
			cell = string(runes[:widths[i]-1]) + "…"
		}
		b.WriteString(cell)
		b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)+columnGap))
	}
	return strings.TrimRight(b.String(), " ") + "\n"
}
