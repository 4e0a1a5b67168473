package loader

import (
	"net/netip"

	"gopkg.in/ini.v1"
)

// address checks host:port: processes find each other by IP number, so a
// host name would bring a lookup that can fail or change.
func (c *checker) address(sec *ini.Section, key, value string) {
	if value == "" {
		return
	}
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.fault(sec.Name(), key, "want IP:PORT such as 10.0.1.1:7070, not %q", value)
	case a.Port() == 0:
		c.fault(sec.Name(), key, "port 0 in %q: want 1 to 65535", value)
	case a.Addr().IsUnspecified():
		c.fault(sec.Name(), key, "%q does not name one VM: peers dial this address", value)
	}
}
