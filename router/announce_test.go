package router

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// postAnnouncement posts an announcement and returns its status, its decoded
// reply and the raw response.
func postAnnouncement(r *Router, fields string) (status string, reply announceReply, text string) {
	out := send(r, "POST /v1/endpoints", "Authorization: Bearer "+testSecret, fields)
	status, text, _ = strings.Cut(out, " ")
	_, body, _ := strings.Cut(text, "\n")
	_ = json.Unmarshal([]byte(strings.TrimSpace(body)), &reply)
	return status, reply, text
}

// announcementJSON returns the JSON of an announcement; more holds additional
// fields.
func announcementJSON(r *Router, name string, sequence int, token, more string) string {
	return fmt.Sprintf(`{"name": %q, "service": "llm", "zone": %q, "address": "10.0.0.1:9000", "incarnation": 1, "sequence": %d, "capacity": 4, "token": %q%s}`,
		name, r.self.Zone(), sequence, token, more)
}

// TestEndpointIsUsedOnceItReturnsTheToken covers the registration of an
// endpoint as the operator's guide describes it: the first announcement, the
// token, an address that is taken, and leaving.
func TestEndpointIsUsedOnceItReturnsTheToken(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestRouter(t)
	status, reply, _ := postAnnouncement(r, announcementJSON(r, "e1", 1, "", ""))
	g.Expect(status).To(gomega.Equal("200"))
	g.Expect(reply.Usable).To(gomega.BeFalse())
	g.Expect(r.usableEndpoints()).To(gomega.BeEmpty())
	status, reply, _ = postAnnouncement(r, announcementJSON(r, "e1", 2, reply.Token, ""))
	g.Expect(status).To(gomega.Equal("200"))
	g.Expect(reply.Usable).To(gomega.BeTrue())
	g.Expect(r.usableEndpoints()).To(gomega.HaveLen(1))
	status, _, text := postAnnouncement(r, announcementJSON(r, "e2", 1, reply.Token, ""))
	g.Expect(status).To(gomega.Equal("409"))
	g.Expect(text).To(gomega.ContainSubstring(`"code":"address_taken","field":"address"`))
	_, reply, _ = postAnnouncement(r, announcementJSON(r, "e1", 3, reply.Token, `, "leaving": true`))
	g.Expect(reply.Usable).To(gomega.BeFalse())
	_, reply, _ = postAnnouncement(r, announcementJSON(r, "e1", 4, reply.Token, ""))
	g.Expect(reply.Usable).To(gomega.BeFalse(), "leaving is final for an incarnation")
	g.Expect(r.usableEndpoints()).To(gomega.BeEmpty())
}

func TestFaultyAnnouncementIsRefusedByField(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestRouter(t)
	for more, field := range map[string]string{
		`, "labels": {"a b": "c"}`:    "labels",
		`, "labels": {"zone": "x"}`:   "labels.zone",
		`, "load": -1`:                "load",
		`, "address": "elsewhere:80"`: "address",
		`, "zone": "nowhere"`:         "zone",
	} {
		status, _, text := postAnnouncement(r, announcementJSON(r, "e1", 1, "", more))
		g.Expect(status).To(gomega.Equal("400"), more)
		g.Expect(text).To(gomega.ContainSubstring(`"field":"`+field+`"`), more)
	}
	g.Expect(r.tracker.Table().All()).To(gomega.BeEmpty())
}
