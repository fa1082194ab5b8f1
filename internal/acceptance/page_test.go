package acceptance

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var codeDefinition = regexp.MustCompile(`(?i)code\w*\s+(?:verdict\.)?Code\s*=\s*"([a-z_]+)"`)

// internalCodes are passed between slices only and never leave a process.
var internalCodes = map[string]bool{"stale_epoch": true, "stale_entry": true, "draining": true, "wrong_snapshot": true}

// Guards against an error code that operators can see and that the operations
// page does not list.
func TestOperationsPageNamesEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	found := 0
	require.NoError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range codeDefinition.FindAllStringSubmatch(string(text), -1) {
			found++
			if !internalCodes[m[1]] {
				assert.True(t, strings.Contains(string(page), "`"+m[1]+"`"), "code %s of %s is not on the page", m[1], path)
			}
		}
		return err
	}))
	require.Greater(t, found, 60)
}
