package head

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	// parsers are the calls of net/http that read heads, for the responses or requests of
	// others, without the grammar's checks.
	parsers = regexp.MustCompile(`http\.(ReadResponse|ReadRequest|Get|Head|Post|PostForm|DefaultClient)\b[^,]*\(|http\.Transport\{|http\.DefaultTransport`)
	// clients are those that use http.DefaultTransport unless they are given another one.
	clients = regexp.MustCompile(`http\.Client\{`)
	// transports are those with checks.
	transports = regexp.MustCompile(`head\.NewTransport\(`)
	// checks are how the product checks what these read.
	checks = regexp.MustCompile(`head\.(NewTransport|NewReader)\(|scanner\.Begin\(\)`)
	// otherRoles are the packages of tests, stand-ins and their tools.
	otherRoles = regexp.MustCompile(`(^|/)(fakes|soak|devel|review|head)/`)
)

// Guards against a new client or server that reads heads with net/http alone: each package
// has as many checks as readers.
func TestAllReadersCheckHeads(t *testing.T) {
	is := is.New(t)
	readers, unchecked, defaults := 0, make(map[string]int), make(map[string]int) // by directory
	root := os.DirFS(filepath.Join("..", ".."))
	err := fs.WalkDir(root, ".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || otherRoles.MatchString(path) {
			return err
		}
		b, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(b)) {
			code, _, _ := strings.Cut(line, "//")
			read := len(parsers.FindAllString(code, -1))
			readers += read
			unchecked[filepath.Dir(path)] += read - len(checks.FindAllString(code, -1))
			defaults[filepath.Dir(path)] += len(clients.FindAllString(code, -1)) - len(transports.FindAllString(code, -1))
		}
		return nil
	})
	is.NoErr(err)
	is.True(readers >= 10) // the pattern still finds them
	for dir, n := range unchecked {
		if n > 0 || defaults[dir] > 0 {
			t.Errorf("%s reads heads in %d more places than it checks, and has %d clients without a transport that checks", dir, n, max(defaults[dir], 0))
		}
	}
}
