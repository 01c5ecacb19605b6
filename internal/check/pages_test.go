package check_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// historicalPages are directories of docs/ whose pages tell what was so when they were written.
var historicalPages = []string{"results", "incidents", "journal"}

var (
	testName   = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*`)
	goFileName = regexp.MustCompile(`[A-Za-z0-9_./*-]+\.go\b`)
)

// TestPagesNameTestsThatExist holds the names of test functions on the pages against the code.
func TestPagesNameTestsThatExist(t *testing.T) {
	known := testFunctions(t)
	mentions := 0
	for page, text := range pages(t) {
		for _, name := range testName.FindAllString(text, -1) {
			mentions++
			if !known[name] {
				t.Errorf("%s: got test %s, want one that exists", page, name)
			}
		}
	}
	if mentions < 100 {
		t.Errorf("got %d names of tests on the pages, want 100 at least: does the search still fit the pages?", mentions)
	}
}

// TestPagesNameGoFilesThatExist holds the names of Go files on the pages against the repository. A page may leave out
// leading directories, and name several files by a pattern with a star.
func TestPagesNameGoFilesThatExist(t *testing.T) {
	known := goFileSuffixes(t)
	mentions := 0
	for page, text := range pages(t) {
		for _, name := range goFileName.FindAllString(text, -1) {
			mentions++
			if !matchesAny(t, strings.TrimPrefix(name, "./"), known) {
				t.Errorf("%s: got Go file %s, want one that exists", page, name)
			}
		}
	}
	if mentions < 40 {
		t.Errorf("got %d names of Go files on the pages, want 40 at least: does the search still fit the pages?", mentions)
	}
}

// matchesAny reports whether a path or a pattern is that of a known file.
func matchesAny(t *testing.T, pattern string, known map[string]bool) bool {
	t.Helper()
	if !strings.Contains(pattern, "*") {
		return known[pattern]
	}
	for file := range known {
		matches, err := path.Match(pattern, file)
		if err != nil {
			t.Fatal(err)
		}
		if matches {
			return true
		}
	}
	return false
}

// pages are the texts of the pages under docs/, by path, without the historical ones.
func pages(t *testing.T) map[string]string {
	t.Helper()
	texts := make(map[string]string)
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(historicalPages, entry.Name()):
			return filepath.SkipDir
		case strings.HasSuffix(file, ".md"):
			texts[strings.TrimPrefix(file, root+"/")] = readFile(t, file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return texts
}

// testFunctions are the names of the test functions of all packages.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	for path := range repositoryGoFiles(t) {
		if !strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			if function, isFunction := declaration.(*ast.FuncDecl); isFunction && function.Recv == nil {
				names[function.Name.Name] = true
			}
		}
	}
	return names
}

// goFileSuffixes are the paths of the repository's Go files, each also without any number of its leading directories.
func goFileSuffixes(t *testing.T) map[string]bool {
	t.Helper()
	suffixes := make(map[string]bool)
	for path := range repositoryGoFiles(t) {
		path = strings.TrimPrefix(filepath.ToSlash(path), root+"/")
		suffixes[path] = true
		for i, character := range path {
			if character == '/' {
				suffixes[path[i+1:]] = true
			}
		}
	}
	return suffixes
}

// repositoryGoFiles are the paths of all Go files outside of hidden directories.
func repositoryGoFiles(t *testing.T) map[string]bool {
	t.Helper()
	paths := make(map[string]bool)
	err := filepath.WalkDir(root, func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && file != root && strings.HasPrefix(entry.Name(), "."):
			return filepath.SkipDir
		case !entry.IsDir() && strings.HasSuffix(file, ".go"):
			paths[file] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return paths
}
