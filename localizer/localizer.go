// Package localizer says in which availability zones a request may be served, where its
// route or its workspace is bound to regions.
package localizer

import (
	"maps"
	"slices"
	"strings"
)

// Zones are the availability zones that some regions allow; immutable. Nil allows all.
type Zones struct {
	// Key is the same for equal zones.
	key     string
	allowed map[string]bool
}

// Localizer knows the region of each availability zone; immutable.
type Localizer struct {
	regions map[string]string
}

// New returns a localizer for the regions of zones.
func New(regions map[string]string) *Localizer { return &Localizer{regions: regions} }

// Within returns the zones of some regions, nil where no region is named. A zone whose
// region is not known is in none.
func (l *Localizer) Within(regions []string) *Zones {
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

func newZones(allowed map[string]bool) *Zones {
	return &Zones{key: strings.Join(slices.Sorted(maps.Keys(allowed)), ","), allowed: allowed}
}

// And returns the zones that both allow.
func (z *Zones) And(o *Zones) *Zones {
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

// Allows reports whether a zone is one of them.
func (z *Zones) Allows(zone string) bool { return z == nil || z.allowed[zone] }

// Empty reports whether no zone is allowed.
func (z *Zones) Empty() bool { return z != nil && len(z.allowed) == 0 }

// Key names the zones; "" where all, or none, are allowed.
func (z *Zones) Key() string {
	if z == nil {
		return ""
	}
	return z.key
}
