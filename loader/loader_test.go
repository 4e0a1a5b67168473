package loader_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"gopkg.in/ini.v1"

	"rattanhoist.example/rattanhoist/comparer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/picker"
)

func TestLoader(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	c, _ := ginkgo.GinkgoConfiguration()
	c.RandomSeed, c.FailOnPending, c.FailOnEmpty = 1, true, true
	ginkgo.RunSpecs(t, "loader", c)
}

// copyIn copies a settings file from testdata to a temporary directory with new
// key files, and returns its path.
func copyIn(name string) string {
	ginkgo.GinkgoHelper()
	dir := ginkgo.GinkgoTB().TempDir()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for file, content := range map[string]struct {
		text string
		mode os.FileMode
	}{
		name:        {string(text), 0o600},
		"good.key":  {"a key of a test deployment", 0o600},
		"open.key":  {"a key of a test deployment", 0o644},
		"short.key": {"short", 0o600},
	} {
		gomega.Expect(os.WriteFile(filepath.Join(dir, file), []byte(content.text), content.mode)).To(gomega.Succeed())
	}
	return filepath.Join(dir, name)
}

var _ = ginkgo.It("lists every fault", func() {
	file := copyIn("faulty.ini")
	_, err := loader.Load(file)
	gomega.Expect(errors.Is(err, loader.ErrInvalidSettings)).To(gomega.BeTrue(), "got %v", err)
	text := strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", "")
	text = strings.ReplaceAll(text, fmt.Sprint(picker.Names()), "[PICKERS]")
	comparer.Golden(ginkgo.GinkgoTB(), "faulty.golden", text+"\n")
})

// Guards against truncated paths: two of three keepers never served and logged
// nothing, because the rest of the path after a '#' was parsed as a comment and
// all keepers opened the same store.
var _ = ginkgo.It("takes comment signs in values", func() {
	file := copyIn("good.ini")
	b, err := os.ReadFile(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	text := strings.Replace(string(b), "data_dir = data", "data_dir = /var/a#b;c/data", 1)
	gomega.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	s, err := loader.Load(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(s.Processes(loader.KindKeeper)[0].DataDir()).To(gomega.Equal("/var/a#b;c/data"))
})

var _ = ginkgo.It("warns and goes on", func() {
	file := copyIn("good.ini")
	s, err := loader.Load(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	text := strings.ReplaceAll(strings.Join(s.Warnings(), "\n"), filepath.Dir(file)+"/", "")
	comparer.Golden(ginkgo.GinkgoTB(), "warnings.golden", text+"\n")
})

var _ = ginkgo.It("keeps charges for longer than requests are repeated", func() {
	file := copyIn("good.ini")
	b, err := os.ReadFile(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	load := func(lines string) (*loader.Settings, error) {
		gomega.Expect(os.WriteFile(file, append(slices.Clone(b), "\n[policy]\n"+lines...), 0o600)).To(gomega.Succeed())
		return loader.Load(file)
	}
	_, err = load("keep_charges = 4h\n")
	gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("[policy] keep_charges: 4h0m0s is too short: want 4h8m0s at least")))
	s, err := load("max_timeout = 10h\nkeep_answer = 1h\n")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(s.Policy().KeepCharges()).To(gomega.Equal(44 * time.Hour))
})

const sample = "../docs/operate/rattanhoist.sample.ini"

// Keeps the settings page up to date: the sample must list exactly the keys that
// the code knows, with their defaults.
var _ = ginkgo.It("has a sample that names every key", func() {
	b, err := os.ReadFile(sample)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	commented := regexp.MustCompile(`(?m)^;([a-z_]+ = )`)
	f, err := ini.Load([]byte(commented.ReplaceAllString(string(b), "$1")))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	known := loader.OptionalKeys()
	gomega.Expect(known).NotTo(gomega.BeEmpty())
	for section, keys := range known {
		got := f.Section(section).KeyStrings()
		slices.Sort(got)
		slices.Sort(keys)
		gomega.Expect(got).To(gomega.Equal(keys), "section [%s] of the sample", section)
	}
})

var _ = ginkgo.It("has a sample that holds the defaults", func() {
	b, err := os.ReadFile(sample)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	commented := regexp.MustCompile(`(?m)^;([a-z_]+ = )`)
	dir := ginkgo.GinkgoTB().TempDir()
	gomega.Expect(os.Mkdir(filepath.Join(dir, "keys"), 0o700)).To(gomega.Succeed())
	for _, k := range []string{"deployment", "operator", "endpoint"} {
		gomega.Expect(os.WriteFile(filepath.Join(dir, "keys", k+".key"), []byte("a key of a test deployment"), 0o600)).To(gomega.Succeed())
	}
	var loaded []*loader.Settings
	for name, text := range map[string]string{
		"explicit": commented.ReplaceAllString(string(b), "$1"),
		"implicit": string(b),
	} {
		file := filepath.Join(dir, name)
		gomega.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
		s, err := loader.Load(file)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Warnings()).To(gomega.BeEmpty())
		loaded = append(loaded, s)
	}
	gomega.Expect(fmt.Sprintf("%+v", loaded[0].Policy())).To(gomega.Equal(fmt.Sprintf("%+v", loaded[1].Policy())))
	gomega.Expect(loaded[0].Trace()).To(gomega.Equal(loaded[1].Trace()))
})
