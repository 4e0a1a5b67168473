package loader

import (
	"net/netip"

	"gopkg.in/ini.v1"
)

// checkAddress checks that a value is empty or a dialable IP:PORT. Processes
// connect to each other by IP address, because resolving a host name can fail
// or change its result.
func (c *parser) checkAddress(sec *ini.Section, key, value string) {
	if value == "" {
		return
	}
	a, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.addError(sec.Name(), key, "want IP:PORT such as 10.0.1.1:7070, not %q", value)
	case a.Port() == 0:
		c.addError(sec.Name(), key, "port 0 in %q: want 1 to 65535", value)
	case a.Addr().IsUnspecified():
		c.addError(sec.Name(), key, "%q does not name one VM: peers dial this address", value)
	}
}
