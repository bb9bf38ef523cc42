// Command cmd writes the generated tables into the pages. Run it at the root
// of the module: go run ./internal/docgen/cmd
package main

import (
	"fmt"
	"os"

	"github.com/comfreyspindle/comfreyspindle/internal/docgen"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	for _, p := range docgen.Pages {
		text, err := p.Render(".")
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.File, []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}
