package loader_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"rattanhoist.example/rattanhoist/loader"
)

// nodeFile writes a node settings file to a temporary directory and returns its
// path.
func nodeFile(t *testing.T, text string) string {
	f := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

const validNode = `[node]
name = core-1
kind = keeper
zone = z
ip = 10.1.0.4
internal_ports = 7340,7355
seeds = 10.1.0.4:8229,10.2.0.4:8229
first_start = true
control = 10.1.0.4:8229
data_dir = /data/x
lost_disks = 1
grace_s = 8
heartbeat_ms =
retry_ratio = 0.3
zones = z:north,y:south
cold_overshoot = 1.5
limit_overshoot = 2
new_field = 1
`

func TestLoadNode(t *testing.T) {
	g := gomega.NewWithT(t)
	n, warnings, err := loader.LoadNode(nodeFile(t, validNode))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n.Internal()).To(gomega.Equal("10.1.0.4:7340"))
	g.Expect(n.Seeds()).To(gomega.Equal([]string{"10.1.0.4:7340", "10.2.0.4:7340"}))
	g.Expect(n.FirstStart()).To(gomega.BeTrue())
	g.Expect(n.Grace()).To(gomega.Equal(8 * time.Second))
	g.Expect(n.Heartbeat()).To(gomega.Equal(time.Second), "an empty field has its default")
	ratio, _, _ := n.RetryLimit()
	g.Expect(ratio).To(gomega.Equal(0.3))
	g.Expect(n.Regions()).To(gomega.Equal(map[string]string{"z": "north", "y": "south"}))
	overshoot, slack := n.ColdLimit()
	g.Expect(overshoot).To(gomega.Equal(1.5))
	g.Expect(slack).To(gomega.BeZero())
	overshoot, slack, window := n.RateLimit()
	g.Expect([]any{overshoot, slack, window}).To(gomega.Equal([]any{2.0, 5.0, 4 * time.Second}), "missing fields have their defaults")
	g.Expect(warnings).To(gomega.HaveLen(1), "an unknown field causes a warning, not an error")
}

func TestLoadNodeListsEveryError(t *testing.T) {
	g := gomega.NewWithT(t)
	_, _, err := loader.LoadNode(nodeFile(t, "[node]\nkind = other\nip = x\ninternal_ports = 1\nseeds = y\nfirst_start = maybe\ngrace_s = -1\nzones = a\n"))
	g.Expect(err).To(gomega.MatchError(loader.ErrInvalidSettings))
	for _, part := range []string{"name: missing", "zone: missing", `"other"`, "want IP:PORT", "true or false", "grace_s", "want ZONE:REGION", "data_dir: missing", "control: missing", "node.ini:7"} {
		g.Expect(err.Error()).To(gomega.ContainSubstring(part))
	}
}

// Guards against a part of the fleet that can't be switched off, or that is off where the settings
// don't name it.
func TestFeaturesAreOnUnlessSwitchedOff(t *testing.T) {
	g := gomega.NewWithT(t)
	n, _, err := loader.LoadNode(nodeFile(t, validNode))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n.Features()).To(gomega.Equal(loader.Features{
		PacedClaims: true, ShortageNotices: true, LoadDigests: true, ServiceAdmission: true, EnginePriorities: true, CallerLimits: true, EndpointRelays: true, StreamVersions: true, PartQuarantine: true, ConnectionShedding: true, Permits: true,
	}))
	g.Expect(n.ProcessorShare()).To(gomega.BeZero())
	off := "processor_share = 0.48\npaced_claims = false\nshortage_notices = false\nload_digests = false\nservice_admission = false\nengine_priorities = false\ncaller_limits = false\nendpoint_relays = false\nstream_versions = false\npart_quarantine = false\nconnection_shedding = false\npermits = false\n"
	n, _, err = loader.LoadNode(nodeFile(t, validNode+off))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(n.Features()).To(gomega.Equal(loader.Features{}))
	g.Expect(n.ProcessorShare()).To(gomega.Equal(0.48))
	_, _, err = loader.LoadNode(nodeFile(t, validNode+"paced_claims = perhaps\n"))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("paced_claims")))
}
