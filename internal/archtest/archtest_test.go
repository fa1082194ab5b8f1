// Package archtest checks the dependency rules of the code base.
package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// ioSuffixes are suffixes of the subpackages of a slice that may do I/O.
var ioSuffixes = []string{"http", "rpc", "disk", "run", "codec"}

// ioPackages are the top-level packages whose duty is I/O itself.
var ioPackages = map[string]bool{
	"settings": true, "standin": true, "peerlink": true, "demo": true, "docgen": true, "journal": true, "bootclock": true, "archtest": true, "eventlog": true, "daemon": true, "cli": true,
}

var bannedImports = []string{
	"net", "net/http", "os", "io/ioutil", "syscall", "encoding/json", "encoding/gob",
	"github.com/twitchtv/twirp", "google.golang.org/protobuf", "github.com/gorilla/mux",
	"github.com/prometheus/client_golang",
}

// bannedCalls are functions that read the clock or wait.
var bannedCalls = map[string]map[string]bool{
	"time": {"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true},
}

// allowedRand are the names of math/rand that don't use the global random source.
var allowedRand = map[string]bool{"New": true, "NewSource": true, "NewPCG": true, "Rand": true, "Source": true, "NewZipf": true}

// Guards against decision packages that depend on the clock, the global random
// source, the network or an encoding, and so can't be tested on virtual time.
func TestDecisionPackagesDoNoIO(t *testing.T) {
	checked := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if mayDoIO(filepath.Dir(path)) {
			return nil
		}
		checked++
		checkFile(t, path)
		return nil
	})
	require.NoError(t, err)
	require.Greater(t, checked, 0)
}

func mayDoIO(dir string) bool {
	rel := strings.TrimPrefix(filepath.ToSlash(dir), "../")
	parts := strings.Split(rel, "/")
	if ioPackages[parts[0]] {
		return true
	}
	last := parts[len(parts)-1]
	if len(parts) == 1 {
		return false
	}
	for _, s := range ioSuffixes {
		if strings.HasSuffix(last, s) {
			return true
		}
	}
	return false
}

func checkFile(t *testing.T, path string) {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, 0)
	require.NoError(t, err)
	names := map[string]string{}
	for _, imp := range file.Imports {
		p, err := strconv.Unquote(imp.Path.Value)
		require.NoError(t, err)
		for _, banned := range bannedImports {
			if p == banned || strings.HasPrefix(p, banned+"/") && banned != "net" {
				t.Errorf("%s imports %s", path, p)
			}
		}
		name := filepath.Base(p)
		if p == "math/rand/v2" {
			name = "rand"
		}
		if imp.Name != nil {
			name = imp.Name.Name
		}
		names[name] = p
	}
	ast.Inspect(file, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		id, ok := sel.X.(*ast.Ident)
		if !ok || id.Obj != nil {
			return true
		}
		p := names[id.Name]
		if bannedCalls[p][sel.Sel.Name] {
			t.Errorf("%s: %s.%s in a decision package", fset.Position(n.Pos()), id.Name, sel.Sel.Name)
		}
		if strings.HasPrefix(p, "math/rand") && ast.IsExported(sel.Sel.Name) && !allowedRand[sel.Sel.Name] {
			t.Errorf("%s: global random source rand.%s in a decision package", fset.Position(n.Pos()), sel.Sel.Name)
		}
		return true
	})
}

// runtimeTime matches uses of the runtime's clock where the clock of the control loop is
// due, which counts the time for which the machine was suspended.
var runtimeTime = regexp.MustCompile(`(Check|Freshness|HearsMajority|NewCore|\.Step)\(time\.Now\(\)|time\.(Since|Until)\(\w+\.ConfirmedAt`)

// Guards against control state that is judged by a clock that stands still during a suspension.
func TestControlStateIsJudgedByItsOwnClock(t *testing.T) {
	for _, dir := range []string{"../daemon", "../entry", "../control", "../../platform"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			require.Empty(t, runtimeTime.FindString(string(text)), path)
			if strings.Contains(filepath.ToSlash(path), "/controlrun/") {
				require.NotContains(t, string(text), "time.Now()", path)
				require.NotContains(t, string(text), "time.Since(", path)
			}
			return err
		}))
	}
}
