package loader

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"gopkg.in/ini.v1"
)

var tlsKeys = []string{"tls_cert", "tls_key", "tls_ca"}

// parseTLS reads the mutual TLS configuration. It returns nil if no TLS key is
// set. Setting only some of the keys is an error, because an incomplete
// configuration would silently fall back to unencrypted connections.
func (c *parser) parseTLS(sec *ini.Section) *tls.Config {
	files := map[string]string{}
	for _, k := range tlsKeys {
		if v := sec.Key(k).String(); v != "" {
			files[k] = c.resolvePath(v)
		}
	}
	if len(files) == 0 {
		return nil
	}
	for _, k := range tlsKeys {
		if files[k] == "" {
			c.addError(sec.Name(), k, "missing; tls_cert, tls_key and tls_ca come together")
		}
	}
	if len(files) != len(tlsKeys) {
		return nil
	}
	return c.loadTLS(sec, files["tls_cert"], files["tls_key"], files["tls_ca"])
}

// loadTLS builds a mutual TLS configuration from PEM files.
func (c *parser) loadTLS(sec *ini.Section, cert, key, ca string) *tls.Config {
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		c.addError(sec.Name(), "tls_cert", "%v", err)
		return nil
	}
	c.checkPermissions(sec, "tls_key", key)
	text, err := os.ReadFile(ca)
	if err != nil {
		c.addError(sec.Name(), "tls_ca", "%v", err)
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		c.addError(sec.Name(), "tls_ca", "%s holds no certificate in PEM form", ca)
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}
