package messenger

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, key: key, cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

// config returns the settings of one node that trusts the authority.
func (a *authority) config() *tls.Config {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	node := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, node, a.cert, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}
}

func TestTLSAdmitsOnlyCertificatesOfTheDeployment(t *testing.T) {
	g := gomega.NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := NewServer(Keys{RoleMember: memberKey}, WithTLS(ours.config()))
	RegisterOperationsServer(s, UnimplementedOperationsServer{})
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	nobody := ours.config()
	nobody.Certificates = nil
	for name, c := range map[string]struct {
		client *tls.Config
		want   codes.Code
	}{
		// The call itself is not served, so it got past the proof.
		"ours":                {ours.config(), codes.Unimplemented},
		"another deployment":  {theirs.config(), codes.Unavailable},
		"without certificate": {nobody, codes.Unavailable},
		"plain text":          {nil, codes.Unavailable},
	} {
		conn, err := NewDialer("n", RoleMember, memberKey, WithTLS(c.client)).Dial(l.Addr().String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err = NewOperationsClient(conn).State(ctx, &StateRequest{})
		cancel()
		_ = conn.Close()
		g.Expect(status.Code(err)).To(gomega.Equal(c.want), "%s: %v", name, err)
	}
}
