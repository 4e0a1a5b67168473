package scripts_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"gopkg.in/ini.v1"
)

// Guards against ablations that change nothing, because the text that they replace no longer exists or
// occurs earlier in another place.
func TestEachAblationSwitchesOneLineOff(t *testing.T) {
	g := gomega.NewWithT(t)
	list, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, "ablations.ini")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sections := list.Sections()[1:]
	g.Expect(sections).NotTo(gomega.BeEmpty())
	for _, s := range sections {
		source, err := os.ReadFile(filepath.Join("..", s.Key("file").String()))
		g.Expect(err).NotTo(gomega.HaveOccurred(), s.Name())
		old := s.Key("old").String()
		g.Expect(old).NotTo(gomega.BeEmpty(), s.Name())
		g.Expect(strings.Count(string(source), old)).To(gomega.Equal(1), s.Name())
		g.Expect(s.Key("new").String()).NotTo(gomega.Or(gomega.BeEmpty(), gomega.Equal(old)), s.Name())
		g.Expect(s.Key("what").String()).NotTo(gomega.BeEmpty(), s.Name())
	}
}
