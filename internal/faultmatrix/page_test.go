package faultmatrix

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const page = "../../docs/fault-matrix.md"

// columns are the steps that every row of the page must answer for.
var columns = []string{"announce", "plan", "dispatch", "gather", "claim", "complete", "commit", "spread", "restart", "shutdown"}

// required are the rows that the page must have. The faults of TestMatrix are
// required too.
var required = []string{"straggler", "replica vanishes", "repartitioning", "shed", "late replies"}

var (
	namedTest = regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z0-9]+)(/[^`]*)?`")
	anyCode   = regexp.MustCompile("`[^`]*`")
)

// cell is one cell of the page.
type cell struct{ fault, step, text string }

func readPage(t *testing.T) (text string, cells []cell) {
	t.Helper()
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	fault := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "## "); ok {
			fault = name
		}
		parts := strings.Split(line, "|")
		if fault == "" || len(parts) != 4 || strings.HasPrefix(parts[1], " ---") || parts[1] == " step " {
			continue
		}
		cells = append(cells, cell{fault, strings.TrimSpace(parts[1]), strings.TrimSpace(parts[2])})
	}
	return string(data), cells
}

// Guards against a fault or a step without an answer, and against a reason
// without words.
func TestPageHasNoEmptyCell(t *testing.T) {
	_, cells := readPage(t)
	answered := map[[2]string]bool{}
	faultsOnPage := slices.Clone(required)
	for _, f := range faults {
		faultsOnPage = append(faultsOnPage, f.name)
	}
	for _, c := range cells {
		require.Contains(t, columns, c.step, "%s", c.fault)
		require.Contains(t, faultsOnPage, c.fault)
		key := [2]string{c.fault, c.step}
		require.False(t, answered[key], "%s/%s is there twice", c.fault, c.step)
		answered[key] = true
		reason, cannot := strings.CutPrefix(c.text, "cannot happen: ")
		switch {
		case cannot:
			require.Greater(t, len(strings.Fields(reason)), 3, "%s/%s gives no reason", c.fault, c.step)
		default:
			require.Regexp(t, namedTest, c.text, "%s/%s names no test", c.fault, c.step)
		}
	}
	for _, f := range faultsOnPage {
		for _, s := range columns {
			require.True(t, answered[[2]string{f, s}], "%s/%s is missing", f, s)
		}
	}
}

// Guards against a page that names tests which do not exist, or another cell of
// TestMatrix than its own.
func TestPageNamesTestsThatExist(t *testing.T) {
	text, cells := readPage(t)
	tests := allTests(t)
	named := namedTest.FindAllStringSubmatch(text, -1)
	require.NotEmpty(t, named)
	for _, m := range named {
		require.True(t, tests[m[1]+"."+m[2]], "%s does not exist", m[0])
		if m[3] != "" {
			require.Equal(t, "faultmatrix.TestMatrix", m[1]+"."+m[2], "only the subtests of TestMatrix can be checked: %s", m[0])
		}
	}
	for _, c := range cells {
		for _, code := range anyCode.FindAllString(c.text, -1) {
			require.Regexp(t, namedTest, code, "%s/%s", c.fault, c.step)
		}
		for _, m := range namedTest.FindAllStringSubmatch(c.text, -1) {
			if m[2] != "TestMatrix" {
				continue
			}
			require.Equal(t, "/"+c.fault+"/"+c.step, m[3])
			require.True(t, inMatrix(c.fault, c.step), "TestMatrix has no cell %s/%s", c.fault, c.step)
		}
	}
}

func inMatrix(faultName, stepName string) bool {
	return slices.ContainsFunc(faults, func(f fault) bool { return f.name == faultName }) &&
		slices.ContainsFunc(steps, func(s step) bool { return s.name == stepName })
}

// allTests returns the tests of the code base as package and name. Packages
// are named by their directories.
func allTests(t *testing.T) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil && strings.HasPrefix(f.Name.Name, "Test") {
				found[packageOf(path)+"."+f.Name.Name] = true
			}
		}
		return nil
	})
	require.NoError(t, err)
	return found
}

func packageOf(path string) string {
	dir, err := filepath.Abs(filepath.Dir(path))
	if err != nil {
		return ""
	}
	return filepath.Base(dir)
}
