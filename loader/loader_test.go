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

	"github.com/onsi/gomega"
	"gopkg.in/ini.v1"

	"rattanhoist.example/rattanhoist/comparer"
	"rattanhoist.example/rattanhoist/loader"
	"rattanhoist.example/rattanhoist/picker"
)

// copyIn copies a settings file of testdata beside freshly made keys.
func copyIn(t *testing.T, name string) string {
	t.Helper()
	dir := t.TempDir()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	for file, content := range map[string]struct {
		text string
		mode os.FileMode
	}{
		name:        {string(text), 0o600},
		"good.key":  {"a key of a test deployment", 0o600},
		"open.key":  {"a key of a test deployment", 0o644},
		"short.key": {"short", 0o600},
	} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(content.text), content.mode); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, name)
}

func TestEveryFaultIsListed(t *testing.T) {
	file := copyIn(t, "faulty.ini")
	_, err := loader.Load(file)
	if !errors.Is(err, loader.ErrFaulty) {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", "")
	text = strings.ReplaceAll(text, fmt.Sprint(picker.Names()), "[PICKERS]")
	comparer.Golden(t, "faulty.golden", text+"\n")
}

// Symptom: two of three keepers never serve and log nothing.
// Sequence: the data folders lie below a path with a '#' in it.
// Cause: the rest of the line was taken for a comment, so that all keepers
// opened one store.
func TestValuesMayHoldCommentSigns(t *testing.T) {
	g := gomega.NewWithT(t)
	file := copyIn(t, "good.ini")
	b, err := os.ReadFile(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text := strings.Replace(string(b), "data_dir = data", "data_dir = /var/a#b;c/data", 1)
	g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	s, err := loader.Load(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Processes(loader.KindKeeper)[0].DataDir()).To(gomega.Equal("/var/a#b;c/data"))
}

func TestWarningsStopNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	file := copyIn(t, "good.ini")
	s, err := loader.Load(file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	text := strings.ReplaceAll(strings.Join(s.Warnings(), "\n"), filepath.Dir(file)+"/", "")
	comparer.Golden(t, "warnings.golden", text+"\n")
}

const sample = "../docs/operate/rattanhoist.sample.ini"

// TestSampleNamesEveryKey keeps the page of settings true: each key of the
// code stands in the sample with its default, and no other.
func TestSampleNamesEveryKey(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := os.ReadFile(sample)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	commented := regexp.MustCompile(`(?m)^;([a-z_]+ = )`)
	f, err := ini.Load([]byte(commented.ReplaceAllString(string(b), "$1")))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	known := loader.OptionalKeys()
	g.Expect(known).NotTo(gomega.BeEmpty())
	for section, keys := range known {
		got := f.Section(section).KeyStrings()
		slices.Sort(got)
		slices.Sort(keys)
		g.Expect(got).To(gomega.Equal(keys), "section [%s] of the sample", section)
	}
}

func TestSampleHoldsTheDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	b, err := os.ReadFile(sample)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	commented := regexp.MustCompile(`(?m)^;([a-z_]+ = )`)
	dir := t.TempDir()
	g.Expect(os.Mkdir(filepath.Join(dir, "keys"), 0o700)).To(gomega.Succeed())
	for _, k := range []string{"deployment", "operator", "endpoint"} {
		g.Expect(os.WriteFile(filepath.Join(dir, "keys", k+".key"), []byte("a key of a test deployment"), 0o600)).To(gomega.Succeed())
	}
	var loaded []*loader.Settings
	for name, text := range map[string]string{
		"explicit": commented.ReplaceAllString(string(b), "$1"),
		"implicit": string(b),
	} {
		file := filepath.Join(dir, name)
		g.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
		s, err := loader.Load(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(s.Warnings()).To(gomega.BeEmpty())
		loaded = append(loaded, s)
	}
	g.Expect(fmt.Sprintf("%+v", loaded[0].Policy())).To(gomega.Equal(fmt.Sprintf("%+v", loaded[1].Policy())))
	g.Expect(loaded[0].Trace()).To(gomega.Equal(loaded[1].Trace()))
}
