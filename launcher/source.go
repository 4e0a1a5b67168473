package launcher

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// noteSources looks at every source file of the module. Go's test cache keys a
// result by the files that the test looked at, and knows nothing of the
// binaries that it builds: without this, a test of real processes passes from
// the cache after the product has changed.
func noteSources() error {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return err
	}
	root := filepath.Dir(strings.TrimSpace(string(out)))
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") {
			_, err = os.Stat(path)
		}
		return err
	})
}
