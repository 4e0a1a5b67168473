package registrar_test

import (
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/registrar"
)

func TestLookupFallsBackToTheDefault(t *testing.T) {
	g := gomega.NewWithT(t)
	r := registrar.New[int]("two")
	g.Expect(r.Register("two", 2)).To(gomega.Equal("two"))
	r.Register("one", 1)
	p, ok := r.Lookup("one")
	g.Expect(p).To(gomega.Equal(1))
	g.Expect(ok).To(gomega.BeTrue())
	p, ok = r.Lookup("three")
	g.Expect(p).To(gomega.Equal(2))
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(r.Names()).To(gomega.Equal([]string{"one", "two"}))
}
