package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	testName    = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)`")
	packageName = regexp.MustCompile("`\\./([\\w/]+)`")
)

// TestProofsExist holds each row of PROOFS.md to the tests of its package.
func TestProofsExist(t *testing.T) {
	text, err := os.ReadFile("PROOFS.md")
	require.NoError(t, err)
	rows := 0
	for _, line := range strings.Split(string(text), "\n") {
		names := testName.FindAllStringSubmatch(line, -1)
		if !strings.HasPrefix(line, "|") || len(names) == 0 {
			continue
		}
		in := packageName.FindAllStringSubmatch(line, -1)
		require.NotEmpty(t, in, line)
		tests := testsOf(t, filepath.Join("..", in[len(in)-1][1]))
		for _, name := range names {
			require.Contains(t, tests, name[1], line)
		}
		rows++
	}
	require.NotZero(t, rows)
}

// testsOf returns the names of the functions in a package's test files.
func testsOf(t *testing.T, directory string) []string {
	files, err := filepath.Glob(filepath.Join(directory, "*_test.go"))
	require.NoError(t, err)
	var names []string
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, declaration := range parsed.Decls {
			if f, ok := declaration.(*ast.FuncDecl); ok {
				names = append(names, f.Name.Name)
			}
		}
	}
	return names
}
