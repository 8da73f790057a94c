package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxFileBytes limits the size of a settings file.
const maxFileBytes = 1 << 20

// KeyError reports a settings key that is missing, unknown or has an invalid value.
type KeyError struct {
	File     string
	Line     int    // 0: the key is missing
	Key      string // path such as Organisations[2].Weight
	Found    string // empty: missing, not a scalar, or a credential
	Expected string
}

// Error includes the file, line and key, the value found and the value expected.
func (e *KeyError) Error() string {
	found := ""
	if e.Found != "" {
		found = fmt.Sprintf("found %q, ", e.Found)
	}
	if e.Line == 0 {
		return fmt.Sprintf("%s: key %s is missing: expected %s", e.File, e.Key, e.Expected)
	}
	return fmt.Sprintf("%s:%d: key %s: %sexpected %s", e.File, e.Line, e.Key, found, e.Expected)
}

// document maps the key paths of a settings file to their YAML nodes.
type document struct {
	file  string
	nodes map[string]*yaml.Node // by key path
}

// keyError returns an error for the value at key. It omits credentials.
func (d document) keyError(key, expected string) *KeyError {
	e := &KeyError{File: d.file, Key: key, Expected: expected}
	node, ok := d.nodes[key]
	if !ok {
		return e
	}
	e.Line = node.Line
	if node.Kind == yaml.ScalarNode && !isCredential(key) {
		e.Found = node.Value
	}
	return e
}

// isCredential reports whether the value at key is secret and must not be printed.
func isCredential(key string) bool {
	return strings.HasSuffix(key, ".Key")
}

// readRoot returns the root of the file's only YAML document.
func readRoot(file string) (*yaml.Node, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parse(file, text)
}

// decodeNode decodes the YAML node at root into target and returns the nodes of its
// keys. Its error joins a *KeyError for each unknown or duplicate key and each
// value of the wrong type.
func decodeNode(file string, root *yaml.Node, target any) (document, error) {
	d := document{file: file, nodes: map[string]*yaml.Node{}}
	w := walker{document: d}
	w.value(root, reflect.TypeOf(target).Elem(), "")
	if len(w.problems) > 0 {
		return d, errors.Join(w.problems...)
	}
	if err := root.Decode(target); err != nil {
		return d, fmt.Errorf("%s: %w", file, err)
	}
	return d, nil
}

// parse returns the root node of text, which must hold exactly one YAML document.
func parse(file string, text []byte) (*yaml.Node, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: settings file exceeds %d bytes", file, maxFileBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var root, second yaml.Node
	err := decoder.Decode(&root)
	if errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: empty settings file", file)
	}
	if err != nil {
		return nil, fmt.Errorf("%s:%d: %w", file, lineOf(err), err)
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%s: expected one YAML document, found more", file)
	}
	return root.Content[0], nil
}

// lineOf returns the line number in a YAML syntax error, or 1 if it has none.
func lineOf(err error) int {
	var line int
	if _, scanErr := fmt.Sscanf(err.Error(), "yaml: line %d:", &line); scanErr != nil {
		return 1
	}
	return line
}

// walker checks the keys and values of a document against the Go type that it
// will be decoded into.
type walker struct {
	document document
	problems []error
}

// value records the node at key and checks it against t.
func (w *walker) value(node *yaml.Node, t reflect.Type, key string) {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	if key != "" {
		w.document.nodes[key] = node
	}
	if node.Tag == "!!null" {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.mapping(node, t, key)
	case reflect.Slice:
		w.list(node, t, key)
	default:
		w.scalar(node, t, key)
	}
}

func (w *walker) mapping(node *yaml.Node, t reflect.Type, key string) {
	if node.Kind != yaml.MappingNode {
		w.reportWrongType(node, key, "keys and values")
		return
	}
	known := map[string]reflect.Type{}
	fieldsOf(t, known)
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name, value := node.Content[i], node.Content[i+1]
		path := join(key, name.Value)
		t, ok := known[name.Value]
		switch {
		case !ok:
			w.reportInvalidKey(name, path, "one of the keys "+strings.Join(sortedNames(known), ", "))
		case seen[name.Value]:
			w.reportInvalidKey(name, path, "a key that is given once")
		default:
			seen[name.Value] = true
			w.value(value, t, path)
		}
	}
}

func (w *walker) list(node *yaml.Node, t reflect.Type, key string) {
	if node.Kind != yaml.SequenceNode {
		w.reportWrongType(node, key, "a list")
		return
	}
	for i, item := range node.Content {
		w.value(item, t.Elem(), key+"["+strconv.Itoa(i)+"]")
	}
}

func (w *walker) scalar(node *yaml.Node, t reflect.Type, key string) {
	if err := node.Decode(reflect.New(t).Interface()); err != nil {
		w.reportWrongType(node, key, kindName(t))
	}
}

// reportWrongType records a value of the wrong type.
func (w *walker) reportWrongType(node *yaml.Node, key, expected string) {
	if key == "" {
		w.problems = append(w.problems, fmt.Errorf("%s:%d: expected %s", w.document.file, node.Line, expected))
		return
	}
	w.problems = append(w.problems, w.document.keyError(key, expected))
}

// reportInvalidKey records a key that is unknown or given twice.
func (w *walker) reportInvalidKey(node *yaml.Node, key, expected string) {
	w.problems = append(w.problems, &KeyError{File: w.document.file, Line: node.Line, Key: key, Expected: expected})
}

// fieldsOf adds the keys and types of t's fields to into, including those of
// inlined structs.
func fieldsOf(t reflect.Type, into map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if options == "inline" {
			fieldsOf(f.Type, into)
		} else if name != "" {
			into[name] = f.Type
		}
	}
}

func sortedNames(known map[string]reflect.Type) []string {
	var out []string
	for name := range known {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "text"
	}
}
