// Package library_test checks the shape of the whole source tree.
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

// assertNoViolations guards a rule of shape: breaches must be empty.
func assertNoViolations(breaches []string) { So(strings.Join(breaches, "\n"), ShouldBeEmpty) }

func isPure(folder string) bool {
	for _, p := range []string{"library/values/", "library/commands/", "library/queries/"} {
		if strings.HasPrefix(folder+"/", p) {
			return true
		}
	}
	return false
}

func hasElement(path, part string) bool { return strings.Contains("/"+path+"/", "/"+part+"/") }

func TestShape(t *testing.T) {
	sources := parseTree(t)

	Convey("Cores and values use no clock, network, file, lock or codec", t, func() {
		banned := []string{"time", "net", "os", "sync", "context", "math/rand", "encoding", "github.com/fxamacker", "storj.io", "github.com/cloudwego", "dragonflyrelay.example/library/codecs"}
		var breaches []string
		for _, s := range sources {
			if !isPure(s.folder()) {
				continue
			}
			for _, i := range s.imports() {
				for _, b := range banned {
					if i == b || strings.HasPrefix(i, b+"/") {
						breaches = append(breaches, s.path+" imports "+i)
					}
				}
			}
		}
		assertNoViolations(breaches)
	})
	Convey("No query imports a command", t, func() {
		var breaches []string
		for _, s := range sources {
			if !hasElement(s.folder(), "queries") {
				continue
			}
			for _, i := range s.imports() {
				if strings.HasPrefix(i, "dragonflyrelay.example/") && hasElement(i, "commands") {
					breaches = append(breaches, s.path+" imports "+i)
				}
			}
		}
		assertNoViolations(breaches)
	})
	Convey("A package has the prefix and at most one exported type", t, func() {
		types := map[string][]string{}
		var breaches []string
		for _, s := range sources {
			if s.file.Name.Name == "main" {
				continue
			}
			if !strings.HasPrefix(s.file.Name.Name, "dragonfly") {
				breaches = append(breaches, s.path+" has package name "+s.file.Name.Name)
			}
			types[s.folder()] = append(types[s.folder()], exportedTypes(s.file)...)
		}
		for folder, names := range types {
			if len(names) > 1 {
				breaches = append(breaches, folder+" exports "+strings.Join(names, ", "))
			}
		}
		assertNoViolations(breaches)
	})
	Convey("Goroutines start on the pool and nothing sleeps", t, func() {
		var breaches []string
		for _, s := range sources {
			ast.Inspect(s.file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt:
					breaches = append(breaches, s.path+" has a go statement")
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && n.Sel.Name == "Sleep" {
						breaches = append(breaches, s.path+" sleeps")
					}
				}
				return true
			})
		}
		assertNoViolations(breaches)
	})
}

// TestWireNames guards that the platform's names stay in its adapter, so that the
// rest of the code speaks the project's words and another platform can be met.
func TestWireNames(t *testing.T) {
	Convey("No source outside the adapter names a header, path or field of the platform", t, func() {
		names := []string{
			"X-Attempt-Id", "X-Server-Seal", "X-Prompt-Prefix", "X-Token-Count", "X-Expect-Instance", "X-Not-Run",
			"X-Deadline-Ms", "X-Tenant", "Api-Key", "X-Request-Priority", "cold_left_ms", "can_resume", "path_prefix",
			"fence_token", "close_mode", "beat_addr", "/evacuate", "api_keys", "timeout_ms", "goal_ms",
		}
		var breaches []string
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
						breaches = append(breaches, s.path+" names "+name)
					}
				}
				return true
			})
		}
		assertNoViolations(breaches)
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
