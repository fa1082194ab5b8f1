package docgen

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	// Links all packages that define events.
	_ "github.com/hawthornlock/hawthornlock/internal/daemon"
	_ "github.com/hawthornlock/hawthornlock/platform"
)

var update = flag.Bool("update", false, "write the pages instead of comparing them")

// Guards against reference pages that differ from the code.
func TestReferencePagesMatchTheCode(t *testing.T) {
	for name, text := range map[string]string{"events.md": Events(), "settings.md": Settings()} {
		path := filepath.Join("..", "..", "docs", name)
		if *update {
			require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
			continue
		}
		page, err := os.ReadFile(path)
		require.NoError(t, err)
		require.True(t, text == string(page), "docs/%s is out of date: run make docs", name)
	}
}
