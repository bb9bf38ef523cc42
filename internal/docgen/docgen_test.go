package docgen_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/docgen"
)

// TestPagesAreCurrent fails when a key, default or rule has changed and the
// pages were not written anew by go run ./internal/docgen/cmd.
func TestPagesAreCurrent(t *testing.T) {
	for _, p := range docgen.Pages {
		want, err := p.Render("../..")
		require.NoError(t, err)
		text, err := os.ReadFile("../../" + p.File)
		require.NoError(t, err)
		require.True(t, want == string(text), "%s is stale; run: go run ./internal/docgen/cmd", p.File)
	}
}

func TestEveryKeyIsExplained(t *testing.T) {
	for _, p := range docgen.Pages {
		keys, err := docgen.Keys("../../"+p.Dir, p.Type)
		require.NoError(t, err)
		require.NotEmpty(t, keys)
		for _, k := range keys {
			require.NotEmpty(t, k.Text, "%s: %s has no doc comment", p.File, k.Path)
		}
	}
}
