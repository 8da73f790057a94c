package counter_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"almondreel.example/almondreel/internal/counter"
)

func TestHandlerWritesTheTextFormat(t *testing.T) {
	counter.Add("TestRefused.QueueFull", 2)
	counter.Add("TestRefused.WaitTooLong", 1)
	counter.Set("TestStoreBytes", 7)
	for n := range int64(100) {
		counter.Observe("TestFirstTokenMilliseconds.lots", n+1)
	}
	w := httptest.NewRecorder()
	counter.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var got []string
	for _, line := range strings.Split(w.Body.String(), "\n") {
		if strings.Contains(line, "almondreel_Test") {
			got = append(got, line)
		}
	}
	require.Equal(t, []string{
		`# TYPE almondreel_TestFirstTokenMilliseconds summary`,
		`almondreel_TestFirstTokenMilliseconds{of="lots",quantile="0.5"} 51`,
		`almondreel_TestFirstTokenMilliseconds{of="lots",quantile="0.95"} 96`,
		`almondreel_TestFirstTokenMilliseconds{of="lots",quantile="0.99"} 100`,
		`almondreel_TestFirstTokenMilliseconds_sum{of="lots"} 5050`,
		`almondreel_TestFirstTokenMilliseconds_count{of="lots"} 100`,
		`# TYPE almondreel_TestRefused counter`,
		`almondreel_TestRefused{of="QueueFull"} 2`,
		`almondreel_TestRefused{of="WaitTooLong"} 1`,
		`# TYPE almondreel_TestStoreBytes gauge`,
		`almondreel_TestStoreBytes 7`,
	}, got)
}

// use is one place where the code names a metric.
type use struct {
	function string // Add, Set or Observe
	name     string // up to the first dot
	at       string
}

var (
	pascalCase = regexp.MustCompile(`^[A-Z][a-z0-9]+([A-Z][a-z0-9]+)*$`)
	documented = regexp.MustCompile("(?m)^\\| `(\\w+)[^`]*` \\| (\\w+) \\|")
	unit       = regexp.MustCompile(`(Milliseconds|Bytes|Tokens)`)
	unitLast   = regexp.MustCompile(`(Milliseconds|Bytes|Tokens)$`)
)

// TestNames holds every metric in the code to one type a name, Pascal case, and
// the unit last.
func TestNames(t *testing.T) {
	uses := findUses(t, "../..")
	require.NotEmpty(t, uses)
	functions := map[string]string{}
	for _, u := range uses {
		require.Regexp(t, pascalCase, u.name, u.at)
		if unit.MatchString(u.name) || u.function == "Observe" {
			require.Regexp(t, unitLast, u.name, "%s: the unit comes last", u.at)
		}
		if first, ok := functions[u.name]; ok {
			require.Equal(t, first, u.function, "%s: %s is two types of metric", u.at, u.name)
		}
		functions[u.name] = u.function
	}
}

// TestDocumentedMetricsExist holds docs/METRICS.md to the code. The counters of
// outcomes are named for the outcome and stand in no literal.
func TestDocumentedMetricsExist(t *testing.T) {
	text, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	types := map[string]string{"Refused": "counter", "Failed": "counter", "Unknown": "counter", "Cancelled": "counter"}
	for _, u := range findUses(t, "../..") {
		types[u.name] = map[string]string{"Add": "counter", "Set": "gauge", "Observe": "summary"}[u.function]
	}
	rows := documented.FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, rows)
	for _, row := range rows {
		require.Equal(t, types[row[1]], row[2], "%s in docs/METRICS.md", row[1])
	}
}

// findUses reads the names out of the Go files below root.
func findUses(t *testing.T, root string) []use {
	var uses []use
	files := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if u, ok := useOf(n); ok {
				u.at = files.Position(n.Pos()).String()
				uses = append(uses, u)
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return uses
}

// useOf returns the use in a call such as counter.Add("Refused."+reason, 1). A
// name that is not a literal at its start is not seen.
func useOf(n ast.Node) (use, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return use{}, false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return use{}, false
	}
	of, ok := selector.X.(*ast.Ident)
	if !ok || of.Name != "counter" {
		return use{}, false
	}
	name, ok := leadingText(call.Args[0])
	name, _, _ = strings.Cut(name, ".")
	return use{function: selector.Sel.Name, name: name}, ok && selector.Sel.Name != "Value"
}

func leadingText(e ast.Expr) (string, bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil
	case *ast.BinaryExpr:
		return leadingText(e.X)
	case *ast.CallExpr:
		if len(e.Args) > 0 {
			return leadingText(e.Args[0])
		}
	}
	return "", false
}
