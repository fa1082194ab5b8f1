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

// requiredSteps are the steps that the page must list for every fault.
var requiredSteps = []string{"announce", "plan", "dispatch", "gather", "claim", "complete", "commit", "spread", "restart", "shutdown"}

// requiredRows are faults that the page must list besides the faults of
// TestMatrix.
var requiredRows = []string{"straggler", "replica vanishes", "repartitioning", "shed", "late replies"}

var (
	namedTest = regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z0-9]+)(/[^`]*)?`")
	codeSpan  = regexp.MustCompile("`[^`]*`")
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

// Guards against a fault or step that the page does not list, and a cell that
// names neither a test nor a reason.
func TestPageHasNoEmptyCell(t *testing.T) {
	_, cells := readPage(t)
	answered := map[[2]string]bool{}
	faultsOnPage := slices.Clone(requiredRows)
	for _, f := range faults {
		faultsOnPage = append(faultsOnPage, f.name)
	}
	for _, c := range cells {
		require.Contains(t, requiredSteps, c.step, "%s", c.fault)
		require.Contains(t, faultsOnPage, c.fault)
		key := [2]string{c.fault, c.step}
		require.False(t, answered[key], "%s/%s is listed twice", c.fault, c.step)
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
		for _, s := range requiredSteps {
			require.True(t, answered[[2]string{f, s}], "%s/%s is missing", f, s)
		}
	}
}

// Guards against a cell that names a test that does not exist, or a subtest of
// TestMatrix that belongs to another cell.
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
		for _, code := range codeSpan.FindAllString(c.text, -1) {
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

// allTests returns the tests of the code base as PACKAGE.NAME. A package is named
// after its directory.
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
