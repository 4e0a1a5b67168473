package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/configurer"
	"rattanhoist.example/rattanhoist/messenger"
)

// TestUnreadChatMayBeNonRepeatable checks a chat request without the
// Request-Repeatable header whose body is not read, as in a draining router.
// Only the body names the service of a chat, and that service may not allow
// repeats. A caller whose answer was lost and who sent the chat again was told
// "not run" although it ran.
func TestUnreadChatMayBeNonRepeatable(t *testing.T) {
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
