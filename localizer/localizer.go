// Package localizer determines the availability zones in which a request may be served, if
// its route or its workspace is restricted to regions.
package localizer

import (
	"maps"
	"slices"
	"strings"
)

// Zones is an immutable set of allowed availability zones. Nil allows all zones.
type Zones struct {
	// key is the same for equal sets.
	key     string
	allowed map[string]bool
}

// Localizer maps availability zones to their regions. It is immutable.
type Localizer struct {
	regions map[string]string
}

// New returns a localizer for the given regions of zones.
func New(regions map[string]string) *Localizer { return &Localizer{regions: regions} }

// InRegions returns the zones in the given regions, or nil if none is given. A zone with an
// unknown region is in none of them.
func (l *Localizer) InRegions(regions []string) *Zones {
	if len(regions) == 0 {
		return nil
	}
	allowed := map[string]bool{}
	for zone, region := range l.regions {
		if slices.Contains(regions, region) {
			allowed[zone] = true
		}
	}
	return newZones(allowed)
}

// newZones returns the set of the given zones.
func newZones(allowed map[string]bool) *Zones {
	return &Zones{key: strings.Join(slices.Sorted(maps.Keys(allowed)), ","), allowed: allowed}
}

// Intersect returns the zones allowed by both sets.
func (z *Zones) Intersect(o *Zones) *Zones {
	if z == nil || o == nil || z.key == o.key {
		if z == nil {
			return o
		}
		return z
	}
	allowed := map[string]bool{}
	for zone := range z.allowed {
		if o.allowed[zone] {
			allowed[zone] = true
		}
	}
	return newZones(allowed)
}

// Allows reports whether a zone is allowed.
func (z *Zones) Allows(zone string) bool { return z == nil || z.allowed[zone] }

// Empty reports whether no zone is allowed.
func (z *Zones) Empty() bool { return z != nil && len(z.allowed) == 0 }

// Key identifies the set of zones. It is "" both if all zones and if none are allowed.
func (z *Zones) Key() string {
	if z == nil {
		return ""
	}
	return z.key
}
