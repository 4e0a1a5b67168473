package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

// Symptom: a caller is told "not run" of a chat that ran. Sequence: a chat of
// a service whose requests may not be repeated runs, its answer is lost, and
// the caller sends it again without the header to a router that drains.
// Cause: only the body tells the service of a chat, and it is not read.
func TestUnreadChatMayBeNotRepeatable(t *testing.T) {
	for _, notRepeatable := range []bool{false, true} {
		g := gomega.NewWithT(t)
		r := &Router{}
		r.snapshot.Store(configurer.Compile(&messenger.Configuration{Services: []*messenger.Service{
			{Name: "a", Kind: messenger.ServiceKind_SERVICE_KIND_MODEL, Models: []string{"m"}},
			{Name: "b", Kind: messenger.ServiceKind_SERVICE_KIND_MODEL, Models: []string{"n"}, NotRepeatable: notRepeatable},
		}}))
		q := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
		g.Expect(r.mayBeNonRepeatable(q)).To(gomega.Equal(notRepeatable))
	}
}
