package repeatability

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// unseeded are packages whose chance has no seed that a test could give.
var unseeded = []string{"crypto/rand", "hash/maphash", "testing/quick"}

// seeded are what math/rand and math/rand/v2 have besides their top-level generator, which nobody seeds.
var seeded = []string{"New", "NewPCG", "NewChaCha8", "NewSource", "NewZipf", "Rand", "Source", "Source64", "PCG", "ChaCha8", "Zipf"}

// constructors take a seed.
var constructors = []string{"NewPCG", "NewChaCha8", "NewSource"}

// differs are functions and methods that give another value at each run.
var differs = []string{"Now", "Since", "Until", "UnixNano", "UnixMicro", "UnixMilli", "Unix", "Getpid", "MakeSeed"}

// TestTestsDrawChanceFromSeedsThatAreWrittenDown reads every test file, and every other file that is for tests.
func TestTestsDrawChanceFromSeedsThatAreWrittenDown(t *testing.T) {
	files := 0
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		if !strings.HasSuffix(path, "_test.go") && !slices.ContainsFunc(file.Imports, func(i *ast.ImportSpec) bool { return importPath(i) == "testing" }) {
			return nil
		}
		files++
		for _, finding := range findings(set, file) {
			t.Error(finding)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := 100; files < want {
		t.Errorf("read %d files for tests, want %d or more: is this the repository's root?", files, want)
	}
}

func TestEachWayToDrawWithoutASeedIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		imports, body string
		want          []string
	}{
		"a written seed":                {`"math/rand/v2"`, `r := rand.New(rand.NewPCG(1, 2)); r.IntN(5)`, nil},
		"a seed that is passed":         {`"math/rand/v2"`, `f := func(seed uint64) { rand.New(rand.NewPCG(seed, 2)) }; f(3)`, nil},
		"the generator nobody seeds":    {`"math/rand/v2"`, `rand.IntN(5)`, []string{"rand.IntN has no seed"}},
		"the same of the older package": {`"math/rand"`, `rand.Float64()`, []string{"rand.Float64 has no seed"}},
		"passed as a function":          {`"math/rand/v2"`, `f := rand.Perm; f(3)`, []string{"rand.Perm has no seed"}},
		"under another name":            {`chance "math/rand/v2"`, `chance.N(5)`, []string{"rand.N has no seed"}},
		"imported with a dot":           {`. "math/rand/v2"`, `IntN(5)`, []string{"import math/rand/v2 by its name"}},
		"the time":                      {`"math/rand/v2"; "time"`, `rand.NewPCG(uint64(time.Now().UnixNano()), 1)`, []string{"rand.NewPCG has a seed that differs at each run"}},
		"the time, by a variable":       {`"math/rand"; "time"`, `began := time.Now(); seed := began.Unix(); rand.NewSource(seed)`, []string{"rand.NewSource has a seed that differs at each run"}},
		"the process":                   {`"math/rand/v2"; "os"`, `var seed = uint64(os.Getpid()); rand.NewPCG(1, seed)`, []string{"rand.NewPCG has a seed that differs at each run"}},
		"the system's chance":           {`"crypto/rand"`, `rand.Read(nil)`, []string{"crypto/rand has no seed"}},
		"hashes of a random seed":       {`"hash/maphash"`, `maphash.MakeSeed()`, []string{"hash/maphash has no seed"}},
		"quick checks":                  {`"testing/quick"`, `quick.Check(nil, nil)`, []string{"testing/quick has no seed"}},
	} {
		t.Run(name, func(t *testing.T) {
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, "x_test.go", fmt.Sprintf("package x\nimport (%s)\nfunc f() { %s }\n", c.imports, c.body), parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, finding := range findings(set, file) {
				_, text, _ := strings.Cut(finding, ": ")
				text, _, _ = strings.Cut(text, ";")
				got = append(got, text)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("findings (-want +got):\n%s", diff)
			}
		})
	}
}

func importPath(i *ast.ImportSpec) string {
	path, err := strconv.Unquote(i.Path.Value)
	if err != nil {
		panic(err) // the parser has read it
	}
	return path
}

// findings are the places of the file that draw chance without a seed, with what to do about each.
func findings(set *token.FileSet, file *ast.File) (found []string) {
	find := func(at ast.Node, problem, remedy string) {
		found = append(found, fmt.Sprintf("%s: %s; %s", set.Position(at.Pos()), problem, remedy))
	}
	random := "" // the name of math/rand or math/rand/v2 in this file
	for _, i := range file.Imports {
		path := importPath(i)
		if slices.Contains(unseeded, path) {
			find(i, path+" has no seed", "draw from math/rand/v2 with a seed")
		}
		if path != "math/rand" && path != "math/rand/v2" {
			continue
		}
		random = "rand"
		if i.Name != nil {
			random = i.Name.Name
		}
		if random == "." {
			find(i, "import "+path+" by its name", "else this check can't tell what is drawn")
		}
	}
	if random == "" {
		return found
	}
	variables := differing(file)
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if isName(n.X, random) && !slices.Contains(seeded, n.Sel.Name) {
				find(n, "rand."+n.Sel.Name+" has no seed", "draw from rand.New with a seed that is written down")
			}
		case *ast.CallExpr:
			f, ok := n.Fun.(*ast.SelectorExpr)
			if !ok || !isName(f.X, random) || !slices.Contains(constructors, f.Sel.Name) {
				return true
			}
			for _, argument := range n.Args {
				if mayDiffer(argument, variables) {
					find(n, "rand."+f.Sel.Name+" has a seed that differs at each run", "write the seed down")
				}
			}
		}
		return true
	})
	return found
}

func isName(e ast.Expr, name string) bool {
	id, ok := e.(*ast.Ident)
	return ok && id.Name == name
}

// mayDiffer says whether the expression calls or names what differs from run to run.
func mayDiffer(e ast.Expr, variables map[string]bool) (yes bool) {
	ast.Inspect(e, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			yes = yes || slices.Contains(differs, n.Sel.Name)
		case *ast.Ident:
			yes = yes || variables[n.Name]
		}
		return !yes
	})
	return yes
}

// differing are the names of variables of the file that are given a value that differs from run to run. It goes by names
// alone, without their scopes, so it may find too much.
func differing(file *ast.File) map[string]bool {
	variables := map[string]bool{}
	for changed := true; changed; {
		changed = false
		note := func(name ast.Expr, value ast.Expr) {
			if id, ok := name.(*ast.Ident); ok && id.Name != "_" && !variables[id.Name] && mayDiffer(value, variables) {
				variables[id.Name], changed = true, true
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.AssignStmt:
				for i, name := range n.Lhs {
					note(name, n.Rhs[min(i, len(n.Rhs)-1)])
				}
			case *ast.ValueSpec:
				for i, name := range n.Names {
					if len(n.Values) > 0 {
						note(name, n.Values[min(i, len(n.Values)-1)])
					}
				}
			}
			return true
		})
	}
	return variables
}
