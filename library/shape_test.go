// Package library_test checks the layout of the whole source tree and the rules of
// its packages.
package library_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// source is one parsed file that is not a test.
type source struct {
	path string // slash-separated, relative to the root of the workspace
	file *ast.File
}

func (s source) folder() string { return filepath.ToSlash(filepath.Dir(s.path)) }

func (s source) imports() []string {
	var paths []string
	for _, i := range s.file.Imports {
		paths = append(paths, strings.Trim(i.Path.Value, `"`))
	}
	return paths
}

func parseTree(t *testing.T) []source {
	t.Helper()
	var out []source
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel("..", path)
		out = append(out, source{filepath.ToSlash(rel), f})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// assertNoViolations guards a rule of the layout and prints every violation.
func assertNoViolations(violations []string) { So(strings.Join(violations, "\n"), ShouldBeEmpty) }

func isPure(folder string) bool {
	for _, p := range []string{"library/values/", "library/commands/", "library/queries/"} {
		if strings.HasPrefix(folder+"/", p) {
			return true
		}
	}
	return false
}

func hasElement(path, name string) bool { return strings.Contains("/"+path+"/", "/"+name+"/") }

func TestShape(t *testing.T) {
	sources := parseTree(t)

	Convey("Cores, queries and values import no clock, network, file, lock or codec", t, func() {
		banned := []string{"time", "net", "os", "sync", "context", "math/rand", "encoding", "github.com/fxamacker", "storj.io", "github.com/cloudwego", "dragonflyrelay.example/library/codecs"}
		var violations []string
		for _, s := range sources {
			if !isPure(s.folder()) {
				continue
			}
			for _, i := range s.imports() {
				for _, b := range banned {
					if i == b || strings.HasPrefix(i, b+"/") {
						violations = append(violations, s.path+" imports "+i)
					}
				}
			}
		}
		assertNoViolations(violations)
	})
	Convey("No query imports a command", t, func() {
		var violations []string
		for _, s := range sources {
			if !hasElement(s.folder(), "queries") {
				continue
			}
			for _, i := range s.imports() {
				if strings.HasPrefix(i, "dragonflyrelay.example/") && hasElement(i, "commands") {
					violations = append(violations, s.path+" imports "+i)
				}
			}
		}
		assertNoViolations(violations)
	})
	Convey("A package name has the prefix, and a package has at most one exported type", t, func() {
		types := map[string][]string{}
		var violations []string
		for _, s := range sources {
			if s.file.Name.Name == "main" {
				continue
			}
			if !strings.HasPrefix(s.file.Name.Name, "dragonfly") {
				violations = append(violations, s.path+" has package name "+s.file.Name.Name)
			}
			types[s.folder()] = append(types[s.folder()], exportedTypes(s.file)...)
		}
		for folder, names := range types {
			if len(names) > 1 {
				violations = append(violations, folder+" exports "+strings.Join(names, ", "))
			}
		}
		assertNoViolations(violations)
	})
	Convey("No code has a go statement, because goroutines start on the pool, or calls time.Sleep", t, func() {
		var violations []string
		for _, s := range sources {
			ast.Inspect(s.file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					violations = append(violations, s.path+" has a go statement")
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && n.Sel.Name == "Sleep" {
						violations = append(violations, s.path+" sleeps")
					}
				}
				return true
			})
		}
		assertNoViolations(violations)
	})
}

// TestWireNames guards that the names of the platform's protocol occur only in its
// adapter, so that the rest of the code uses the project's own terms and can be
// adapted to another platform.
func TestWireNames(t *testing.T) {
	Convey("No string outside the adapter contains a header, path or field of the platform", t, func() {
		names := []string{
			"X-Attempt-Id", "X-Server-Seal", "X-Prompt-Prefix", "X-Token-Count", "X-Expect-Instance", "X-Not-Run",
			"X-Deadline-Ms", "X-Tenant", "Api-Key", "X-Request-Priority", "Server-Limit", "cold_left_ms", "can_resume", "path_prefix",
			"fence_token", "close_mode", "beat_addr", "/evacuate", "api_keys", "timeout_ms", "goal_ms",
		}
		var violations []string
		for _, s := range parseTree(t) {
			if strings.HasPrefix(s.path, "platform/") || strings.HasPrefix(s.path, "library/shape") {
				continue
			}
			ast.Inspect(s.file, func(n ast.Node) bool {
				lit, ok := n.(*ast.BasicLit)
				if !ok || lit.Kind != token.STRING {
					return true
				}
				for _, name := range names {
					if strings.Contains(lit.Value, name) {
						violations = append(violations, s.path+" names "+name)
					}
				}
				return true
			})
		}
		assertNoViolations(violations)
	})
}

func exportedTypes(f *ast.File) []string {
	var names []string
	for _, d := range f.Decls {
		g, ok := d.(*ast.GenDecl)
		if !ok || g.Tok != token.TYPE {
			continue
		}
		for _, spec := range g.Specs {
			if ts := spec.(*ast.TypeSpec); ts.Name.IsExported() {
				names = append(names, ts.Name.Name)
			}
		}
	}
	return names
}
