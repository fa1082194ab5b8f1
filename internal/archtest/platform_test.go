package archtest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformNames matches names that only the users' platform uses.
var platformNames = regexp.MustCompile(`X-Expected-Instance|X-Response-Signature|X-Part-Signatures|X-Missing-Parts|X-Not-Executed|heartbeat_url|traffic_split|seed_nodes|"/hawthornlock/|warmup_left_ms|path_prefix`)

// Guards against names of the users' platform outside its adapter, which would
// tie the product to one platform.
func TestPlatformWordsStayInTheAdapter(t *testing.T) {
	checked := 0
	for _, root := range []string{"..", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			require.Empty(t, platformNames.FindString(string(text)), path)
			checked++
			return err
		}))
	}
	require.Greater(t, checked, 100)
}
