package launcher

import (
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// statSources reads the attributes of all source files of the module. Go caches the result of a test by
// the files that the test accesses, which do not include the sources of binaries that it builds. Without
// this, a cached result would be used after the product has changed.
func statSources() error {
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
