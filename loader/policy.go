package loader

import (
	"time"

	"gopkg.in/ini.v1"

	"rattanhoist.example/rattanhoist/admitter"
	"rattanhoist.example/rattanhoist/picker"
	"rattanhoist.example/rattanhoist/placer"
)

// Defaults of the policy section.
const (
	defaultPicker         = "deadline"
	defaultShedder        = "deadline"
	defaultPlacement      = "demand"
	defaultMaxBody        = 8 << 20
	defaultTimeout        = 60 * time.Second
	defaultMaxTimeout     = time.Hour
	defaultKeepAnswer     = 2 * time.Minute
	defaultEndpointMaxAge = 3 * time.Second
	defaultDrainTimeout   = 10 * time.Minute
)

func defaultPolicy() Policy {
	return Policy{
		picker: defaultPicker, shedder: defaultShedder, placement: defaultPlacement, maxBody: defaultMaxBody,
		defaultTimeout: defaultTimeout, maxTimeout: defaultMaxTimeout,
		keepAnswer: defaultKeepAnswer, endpointMaxAge: defaultEndpointMaxAge,
		drainTimeout: defaultDrainTimeout,
	}
}

var policyKeys = []string{
	"picker", "shedder", "placement", "max_body_bytes", "default_timeout", "max_timeout",
	"keep_answer", "endpoint_max_age", "drain_timeout", "fault_port",
}

func (c *checker) policySection(sec *ini.Section) Policy {
	c.onlyKeys(sec, policyKeys...)
	p := defaultPolicy()
	c.text(sec, "picker", &p.picker)
	c.oneOf(sec, "picker", p.picker, picker.Names())
	c.text(sec, "shedder", &p.shedder)
	c.oneOf(sec, "shedder", p.shedder, admitter.Names())
	c.text(sec, "placement", &p.placement)
	c.oneOf(sec, "placement", p.placement, placer.Names())
	c.bytes(sec, "max_body_bytes", &p.maxBody)
	c.duration(sec, "default_timeout", &p.defaultTimeout)
	c.duration(sec, "max_timeout", &p.maxTimeout)
	c.duration(sec, "keep_answer", &p.keepAnswer)
	c.duration(sec, "endpoint_max_age", &p.endpointMaxAge)
	c.duration(sec, "drain_timeout", &p.drainTimeout)
	c.flag(sec, "fault_port", &p.faultPortEnabled)
	if p.defaultTimeout > p.maxTimeout {
		c.fault(sec.Name(), "default_timeout", "%s is longer than max_timeout, %s", p.defaultTimeout, p.maxTimeout)
	}
	return p
}

func (c *checker) text(sec *ini.Section, key string, to *string) {
	if sec.HasKey(key) {
		*to = sec.Key(key).String()
	}
}

func (c *checker) flag(sec *ini.Section, key string, to *bool) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Bool()
	if err != nil {
		c.fault(sec.Name(), key, "want true or false, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

func (c *checker) bytes(sec *ini.Section, key string, to *int64) {
	if !sec.HasKey(key) {
		return
	}
	v, err := sec.Key(key).Int64()
	if err != nil || v <= 0 {
		c.fault(sec.Name(), key, "want a positive number of bytes, not %q", sec.Key(key).String())
		return
	}
	*to = v
}

func (c *checker) duration(sec *ini.Section, key string, to *time.Duration) {
	if !sec.HasKey(key) {
		return
	}
	v, err := time.ParseDuration(sec.Key(key).String())
	if err != nil || v <= 0 {
		c.fault(sec.Name(), key, "want a positive duration such as 1.5s or 2m, not %q", sec.Key(key).String())
		return
	}
	*to = v
}
