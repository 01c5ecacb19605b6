package check_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// Log events, texts of errors and statuses as the source code has them.

// logEvent is a log event as the code writes it or as the page describes it.
type logEvent struct {
	level string
	keys  []string // sorted
}

// controlEvents are the events of raventrestle-control itself, from the chains of calls that write them.
func controlEvents(t *testing.T) map[string]logEvent {
	t.Helper()
	return writtenEvents(t, "cmd/raventrestle-control", "replica.")
}

// routerEvents are the events of raventrestle-router.
func routerEvents(t *testing.T) map[string]logEvent {
	t.Helper()
	events := writtenEvents(t, "cmd/raventrestle-router", "")
	for _, directory := range []string{"internal/router", "internal/transport"} {
		maps.Copy(events, writtenEvents(t, directory, ""))
	}
	return events
}

// replicaEvents are the events of the replicated group: calls of RecordEvent(name, key, value, ...), which
// raventrestle-control writes at level info with "replica." before the name.
func replicaEvents(t *testing.T) map[string]logEvent {
	t.Helper()
	events := make(map[string]logEvent)
	for _, file := range goFiles(t, "coordination") {
		ast.Inspect(file, func(node ast.Node) bool {
			call, isCall := node.(*ast.CallExpr)
			if !isCall || methodName(call) != "RecordEvent" || len(call.Args) == 0 {
				return true
			}
			var keys []string
			for i := 1; i < len(call.Args); i += 2 {
				keys = append(keys, literal(call.Args[i]))
			}
			slices.Sort(keys)
			name := literal(call.Args[0])
			if name == "" {
				t.Error("got a call of RecordEvent whose event is no literal, want a literal")
			}
			events["replica."+name] = logEvent{level: "info", keys: keys}
			return true
		})
	}
	return events
}

// writtenEvents are the events that the code below a directory writes. An event may be named by a literal, by a constant or
// by a variable that is assigned constants. The event made of a prefix and a name that is known only when it is written is
// left out; any other must have a name that is found.
func writtenEvents(t *testing.T, directory, prefix string) map[string]logEvent {
	t.Helper()
	files := goFiles(t, directory)
	constants := stringConstants(files)
	events := make(map[string]logEvent)
	for _, file := range files {
		for _, declaration := range file.Decls {
			ast.Inspect(declaration, func(node ast.Node) bool {
				event, name, complete := logCall(node)
				if !complete || isParameter(declaration, name) {
					return true
				}
				if beginsWith(declaration, name, prefix, constants) {
					return true
				}
				names := nameValues(declaration, name, constants)
				if len(names) == 0 {
					t.Errorf("%s: got an event whose name is not found, want a literal or constants", directory)
				}
				for _, name := range names {
					events[name] = event
				}
				return true
			})
		}
	}
	return events
}

// beginsWith reports whether an expression is the sum of a prefix, which isn't empty, and something else.
func beginsWith(declaration ast.Decl, expression ast.Expr, prefix string, constants map[string]string) bool {
	sum, isSum := expression.(*ast.BinaryExpr)
	return isSum && prefix != "" && slices.Equal(nameValues(declaration, sum.X, constants), []string{prefix})
}

// isParameter reports whether an expression is a parameter of the function that a declaration declares: the function only
// passes on an event that its callers name.
func isParameter(declaration ast.Decl, expression ast.Expr) bool {
	function, isFunction := declaration.(*ast.FuncDecl)
	identifier, isIdentifier := expression.(*ast.Ident)
	if !isFunction || !isIdentifier {
		return false
	}
	for _, field := range function.Type.Params.List {
		for _, name := range field.Names {
			if name.Name == identifier.Name {
				return true
			}
		}
	}
	return false
}

// nameValues are the values that the expression of an event's name can have.
func nameValues(declaration ast.Decl, expression ast.Expr, constants map[string]string) []string {
	if text := literal(expression); text != "" {
		return []string{text}
	}
	identifier, isIdentifier := expression.(*ast.Ident)
	if !isIdentifier {
		return nil
	}
	if value, isConstant := constants[identifier.Name]; isConstant {
		return []string{value}
	}
	var values []string
	ast.Inspect(declaration, func(node ast.Node) bool {
		assignment, isAssignment := node.(*ast.AssignStmt)
		if !isAssignment || len(assignment.Lhs) != 1 || len(assignment.Rhs) != 1 {
			return true
		}
		if target, isTarget := assignment.Lhs[0].(*ast.Ident); isTarget && target.Name == identifier.Name {
			values = append(values, nameValues(declaration, assignment.Rhs[0], constants)...)
		}
		return true
	})
	return values
}

// stringConstants are the constants of the files that have a literal as their value.
func stringConstants(files []*ast.File) map[string]string {
	constants := make(map[string]string)
	for _, file := range files {
		for _, declaration := range file.Decls {
			general, isGeneral := declaration.(*ast.GenDecl)
			if !isGeneral || general.Tok != token.CONST {
				continue
			}
			for _, spec := range general.Specs {
				value, isValue := spec.(*ast.ValueSpec)
				if isValue && len(value.Names) == 1 && len(value.Values) == 1 && literal(value.Values[0]) != "" {
					constants[value.Names[0].Name] = literal(value.Values[0])
				}
			}
		}
	}
	return constants
}

// logLevels are the levels by the methods that begin an entry: those of the log package, and those of a sink of events
// that take the event's name.
var logLevels = map[string]string{
	"Trace": "trace", "Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error", "Fatal": "fatal",
	"trace": "trace", "debug": "debug", "info": "info", "warn": "warn", "error": "error",
}

// logCall takes apart a chain that writes an entry: logger.Level().Field(key, value)...Msg(name), or
// sink.level(name).Field(key, value)...Msg(""). The expression is that of the event's name.
func logCall(node ast.Node) (event logEvent, name ast.Expr, complete bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || methodName(call) != "Msg" || len(call.Args) != 1 {
		return logEvent{}, nil, false
	}
	name = call.Args[0]
	for {
		selector, isSelector := call.Fun.(*ast.SelectorExpr)
		if !isSelector {
			return logEvent{}, nil, false
		}
		if call, isCall = selector.X.(*ast.CallExpr); !isCall {
			return logEvent{}, nil, false
		}
		level, isLevel := logLevels[methodName(call)]
		switch {
		case isLevel:
			if len(call.Args) == 1 {
				name = call.Args[0]
			}
			slices.Sort(event.keys)
			event.level = level
			return event, name, true
		case methodName(call) == "Err":
			event.keys = append(event.keys, "error")
		case len(call.Args) == 2:
			event.keys = append(event.keys, literal(call.Args[0]))
		}
	}
}

// errorTexts are the literal texts of errors.New in a file.
func errorTexts(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	ast.Inspect(file, func(node ast.Node) bool {
		if call, isCall := node.(*ast.CallExpr); isCall && methodName(call) == "New" && len(call.Args) == 1 {
			if text := literal(call.Args[0]); text != "" {
				texts = append(texts, text)
			}
		}
		return true
	})
	return texts
}

// constantsWithPrefix are the names of the constants below a directory that begin with a prefix.
func constantsWithPrefix(t *testing.T, directory, prefix string) []string {
	t.Helper()
	var names []string
	for _, file := range goFiles(t, directory) {
		for _, declaration := range file.Decls {
			general, isGeneral := declaration.(*ast.GenDecl)
			if !isGeneral || general.Tok != token.CONST {
				continue
			}
			for _, spec := range general.Specs {
				value, isValue := spec.(*ast.ValueSpec)
				if !isValue {
					continue
				}
				for _, name := range value.Names {
					if strings.HasPrefix(name.Name, prefix) {
						names = append(names, name.Name)
					}
				}
			}
		}
	}
	return names
}

// statuses are the constants of net/http for statuses that the code below a directory names.
func statuses(t *testing.T, directory string) map[int]bool {
	t.Helper()
	byName := make(map[string]int)
	for status := 100; status < 600; status++ {
		if text := http.StatusText(status); text != "" {
			byName["Status"+strings.NewReplacer(" ", "", "-", "").Replace(text)] = status
		}
	}
	found := make(map[int]bool)
	for _, file := range goFiles(t, directory) {
		ast.Inspect(file, func(node ast.Node) bool {
			selector, isSelector := node.(*ast.SelectorExpr)
			if !isSelector || !strings.HasPrefix(selector.Sel.Name, "Status") {
				return true
			}
			if status, isStatus := byName[selector.Sel.Name]; isStatus {
				found[status] = true
			}
			return true
		})
	}
	return found
}

// goFiles parses the files below a directory of the repository that are no tests.
func goFiles(t *testing.T, directory string) []*ast.File {
	t.Helper()
	var files []*ast.File
	err := filepath.WalkDir(filepath.Join(root, directory), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		files = append(files, file)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// methodName is the last part of the name that a call calls.
func methodName(call *ast.CallExpr) string {
	if selector, isSelector := call.Fun.(*ast.SelectorExpr); isSelector {
		return selector.Sel.Name
	}
	return ""
}

// literal is the value of a string literal, empty for any other expression.
func literal(expression ast.Expr) string {
	basic, isBasic := expression.(*ast.BasicLit)
	if !isBasic || basic.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(basic.Value)
	if err != nil {
		return ""
	}
	return text
}
