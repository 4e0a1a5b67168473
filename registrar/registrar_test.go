package registrar_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/registrar"
)

func TestRegistrar(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	c, _ := ginkgo.GinkgoConfiguration()
	c.RandomSeed, c.FailOnPending, c.FailOnEmpty = 1, true, true
	ginkgo.RunSpecs(t, "registrar", c)
}

var _ = ginkgo.It("falls back to the default in a lookup", func() {
	r := registrar.New[int]("two")
	gomega.Expect(r.Register("two", 2)).To(gomega.Equal("two"))
	r.Register("one", 1)
	p, ok := r.Lookup("one")
	gomega.Expect(p).To(gomega.Equal(1))
	gomega.Expect(ok).To(gomega.BeTrue())
	p, ok = r.Lookup("three")
	gomega.Expect(p).To(gomega.Equal(2))
	gomega.Expect(ok).To(gomega.BeFalse())
	gomega.Expect(r.Names()).To(gomega.Equal([]string{"one", "two"}))
})
