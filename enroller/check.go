package enroller

import (
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxNameBytes bounds the id, service and zone of an endpoint. Each request names the id in a header
	// field, and servers refuse headers of more than a few kilobytes.
	maxNameBytes = 4 << 10
	// maxAddressBytes bounds an address: an IPv6 address may name a network interface.
	maxAddressBytes = 256
)

// Check returns ErrInvalidHeartbeat if the id cannot be passed on: to other processes in a protocol buffer,
// whose texts are UTF-8, or to the endpoint in a header field. One message holds many endpoints, and one
// that cannot be encoded would take all others with it.
func (i Incarnation) Check() error {
	if err := checkText("id", i.ID, maxNameBytes); err != nil {
		return err
	}
	if !httpguts.ValidHeaderFieldValue(i.ID) {
		return merry.Errorf("%w: the id holds a control character", ErrInvalidHeartbeat)
	}
	return nil
}

// Check returns ErrInvalidHeartbeat if a text of the heartbeat cannot be passed on.
func (b Heartbeat) Check() error {
	if err := b.Incarnation.Check(); err != nil {
		return err
	}
	for _, f := range []struct {
		name, value string
		maxBytes    int
	}{{"service", b.Service, maxNameBytes}, {"zone", b.Zone, maxNameBytes}, {"address", b.Address, maxAddressBytes}, {"version", string(b.Version), maxVersionBytes}} {
		if err := checkText(f.name, f.value, f.maxBytes); err != nil {
			return err
		}
	}
	return nil
}

// checkText returns ErrInvalidHeartbeat if a text is too long or not UTF-8.
func checkText(name, value string, maxBytes int) error {
	if len(value) > maxBytes {
		return merry.Errorf("%w: the %s is longer than %d bytes", ErrInvalidHeartbeat, name, maxBytes)
	}
	if !utf8.ValidString(value) {
		return merry.Errorf("%w: the %s is not valid UTF-8", ErrInvalidHeartbeat, name)
	}
	return nil
}
