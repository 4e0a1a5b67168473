package courier

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"go.uber.org/zap"

	"rattanhoist.example/rattanhoist/acceptor"
	"rattanhoist.example/rattanhoist/forwarder"
	"rattanhoist.example/rattanhoist/shaper"
)

// Guards against a router that looks for the end of a caller's connection in vain, as its port returns connections of a type of its own.
func TestEndOfACallersConnectionIsSeenThroughThePort(t *testing.T) {
	g := gomega.NewWithT(t)
	port, err := acceptor.New(nil, zap.NewNop()).Listen(t.Name(), "127.0.0.1:0", acceptor.Limits{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer port.Close()
	s := newCallerServer(nil, zap.NewNop())
	caller := dialCaller(t, port)
	n, err := callerListener{shaper.NewAdmission(0, &shaper.Lag{}).Listener(port), s}.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer n.Close()
	c := n.(*callerConn)
	g.Expect(c.Protect()).To(gomega.BeEmpty())
	g.Expect(caller.Close()).To(gomega.Succeed())
	g.Eventually(c.Protect, time.Second).Should(gomega.Equal(forwarder.ClosedByCaller))
}
