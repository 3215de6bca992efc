package zinniashore_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestPromisesNameTests checks that every test named in docs/PROMISES.md exists.
func TestPromisesNameTests(t *testing.T) {
	page, err := os.ReadFile("docs/PROMISES.md")
	if err != nil {
		t.Fatal(err)
	}
	known := testNames(t)
	named := regexp.MustCompile(`\b([a-z]+\.(?:Test|Fuzz)[A-Za-z0-9_]+)`).FindAllStringSubmatch(string(page), -1)
	if len(named) == 0 {
		t.Fatal("docs/PROMISES.md names no test")
	}
	for _, match := range named {
		if !known[match[1]] {
			t.Errorf("docs/PROMISES.md names %s, which does not exist", match[0])
		}
	}
}

// testNames returns the names of all tests of the repository, as package.Name.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z0-9_]+)\(`)
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		folder := filepath.Base(filepath.Dir(path))
		if folder == "." {
			folder = "zinniashore"
		}
		for _, match := range declaration.FindAllStringSubmatch(string(content), -1) {
			names[folder+"."+match[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}
