package tracker

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/ansel1/merry/v2"

	"rattanhoist.example/rattanhoist/matcher"
)

// Errors of an announcement. Compare with errors.Is.
var (
	// ErrInvalid means that a field is invalid; the error is a *FieldError.
	ErrInvalid = merry.Sentinel("faulty announcement")
	// ErrAddressTaken means that a live endpoint with another name has the
	// address.
	ErrAddressTaken = merry.Sentinel("address is announced under another name")
	// ErrFull means that the tracker holds MaxEndpoints endpoints.
	ErrFull = merry.Sentinel("too many endpoints")
)

// Limits on the fields of an announcement.
const (
	MaxWordBytes = 128
	// MaxAddressBytes bounds an address: an IPv6 address may name a network interface.
	MaxAddressBytes = 256
	MaxLabels       = 32
	MaxCapacity     = 1_000_000
	MaxLoad         = 100_000_000
)

// Announcement is a message in which an endpoint describes itself.
type Announcement struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is IP:port.
	Address string            `json:"address"`
	Labels  map[string]string `json:"labels"`
	// Incarnation grows with every start of the endpoint; the highest one
	// replaces all others.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with every announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	// Capacity is the number of requests that the endpoint runs at once.
	Capacity int64 `json:"capacity"`
	// Load is the number of requests that run or wait there.
	Load int64 `json:"load"`
	// Leaving can't be revoked by the same incarnation.
	Leaving       bool `json:"leaving"`
	ChecksFencing bool `json:"checks_fencing"`
	// Token is that of the router's last response, which bounds the age of the
	// announcement.
	Token string `json:"token"`
}

// FieldError describes an invalid field.
type FieldError struct {
	Field  string
	Detail string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Detail }

// Unwrap returns ErrInvalid.
func (*FieldError) Unwrap() error { return ErrInvalid }

func faulty(field, format string, args ...any) error {
	return &FieldError{Field: field, Detail: fmt.Sprintf(format, args...)}
}

// reservedLabels are set from the fields of the same name, so that an endpoint
// can't choose values for them that differ from its fields.
var reservedLabels = []string{"name", "service", "zone"}

// Check returns an error for the first invalid field. Zones holds the zones in
// the settings.
func (a Announcement) Check(zones []string) error {
	for _, f := range []struct{ field, value string }{{"name", a.Name}, {"service", a.Service}, {"zone", a.Zone}} {
		if err := checkWord(f.field, f.value); err != nil {
			return err
		}
	}
	if !slices.Contains(zones, a.Zone) {
		return faulty("zone", "%q is not in the settings; they have %v", a.Zone, zones)
	}
	if err := checkAddress(a.Address); err != nil {
		return err
	}
	if err := checkLabels(a.Labels); err != nil {
		return err
	}
	return a.checkNumbers()
}

func checkWord(field, value string) error {
	switch {
	case value == "":
		return faulty(field, "missing")
	case len(value) > MaxWordBytes:
		return faulty(field, "longer than %d bytes", MaxWordBytes)
	case !matcher.ValidWord(value):
		return faulty(field, "%q: want letters, digits and -_./", value)
	default:
		return nil
	}
}

func checkAddress(address string) error {
	if address == "" {
		return faulty("address", "missing")
	}
	if len(address) > MaxAddressBytes {
		return faulty("address", "longer than %d bytes", MaxAddressBytes)
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return faulty("address", "%q: want IP:port that routers can reach", address)
	}
	return nil
}

func checkLabels(labels map[string]string) error {
	if len(labels) > MaxLabels {
		return faulty("labels", "more than %d", MaxLabels)
	}
	for k, v := range labels {
		if slices.Contains(reservedLabels, k) {
			return faulty("labels."+k, "reserved; it is set from the field %s", k)
		}
		if err := checkWord("labels", k); err != nil {
			return err
		}
		if err := checkWord("labels."+k, v); err != nil {
			return err
		}
	}
	return nil
}

func (a Announcement) checkNumbers() error {
	switch {
	case a.Incarnation == 0:
		return faulty("incarnation", "want a positive number that grows with every start")
	case a.Sequence == 0:
		return faulty("sequence", "want a positive number that grows with every announcement")
	case a.Capacity <= 0 || a.Capacity > MaxCapacity:
		return faulty("capacity", "want 1 to %d", MaxCapacity)
	case a.Load < 0 || a.Load > MaxLoad:
		return faulty("load", "want 0 to %d", MaxLoad)
	default:
		return nil
	}
}

func isReserved(label string) bool { return slices.Contains(reservedLabels, label) }
