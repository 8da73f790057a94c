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

func TestHandlerWritesTextFormat(t *testing.T) {
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

// metricUse is a call in the code that names a metric.
type metricUse struct {
	function string // Add, Set or Observe
	name     string // the metric's name up to its first dot
	position string
}

var (
	pascalCase = regexp.MustCompile(`^[A-Z][a-z0-9]+([A-Z][a-z0-9]+)*$`)
	documented = regexp.MustCompile("(?m)^\\| `(\\w+)[^`]*` \\| (\\w+) \\|")
	unit       = regexp.MustCompile(`(Milliseconds|Bytes|Tokens)`)
	unitLast   = regexp.MustCompile(`(Milliseconds|Bytes|Tokens)$`)
)

// TestMetricNamesHaveOneTypeAndUnitLast requires that each metric name in the code has
// one type of metric, is in Pascal case and, if it has a unit, ends with it. Histograms
// must have a unit.
func TestMetricNamesHaveOneTypeAndUnitLast(t *testing.T) {
	uses := findUses(t, "../..")
	require.NotEmpty(t, uses)
	functions := map[string]string{}
	for _, u := range uses {
		require.Regexp(t, pascalCase, u.name, u.position)
		if unit.MatchString(u.name) || u.function == "Observe" {
			require.Regexp(t, unitLast, u.name, "%s: the name must end with its unit", u.position)
		}
		if function, ok := functions[u.name]; ok {
			require.Equal(t, function, u.function, "%s: %s is used as two types of metric", u.position, u.name)
		}
		functions[u.name] = u.function
	}
}

// TestDocumentedMetricsExist requires that each metric in docs/METRICS.md exists in the
// code with the documented type. Counters of outcomes take their names from the outcome,
// not from a literal, so the test lists them.
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

// findUses returns the uses of metrics in the Go files below root, without tests.
func findUses(t *testing.T, root string) []metricUse {
	var uses []metricUse
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
			if u, ok := metricUseOf(n); ok {
				u.position = files.Position(n.Pos()).String()
				uses = append(uses, u)
			}
			return true
		})
		return nil
	})
	require.NoError(t, err)
	return uses
}

// metricUseOf returns the use in a call such as counter.Add("Refused."+reason, 1). It
// finds only names that begin with a string literal.
func metricUseOf(n ast.Node) (metricUse, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return metricUse{}, false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return metricUse{}, false
	}
	pkg, ok := selector.X.(*ast.Ident)
	if !ok || pkg.Name != "counter" {
		return metricUse{}, false
	}
	name, ok := leadingLiteral(call.Args[0])
	name, _, _ = strings.Cut(name, ".")
	return metricUse{function: selector.Sel.Name, name: name}, ok && selector.Sel.Name != "Value"
}

func leadingLiteral(e ast.Expr) (string, bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, err == nil
	case *ast.BinaryExpr:
		return leadingLiteral(e.X)
	case *ast.CallExpr:
		if len(e.Args) > 0 {
			return leadingLiteral(e.Args[0])
		}
	}
	return "", false
}
