package loader

import (
	"slices"
	"strconv"

	"gopkg.in/ini.v1"

	"rattanhoist.example/rattanhoist/tracer"
)

// Trace holds the tracing settings.
type Trace struct {
	exporter, file, endpoint string
	sampleRatio              float64
}

// Exporter returns the name of the exporter.
func (t Trace) Exporter() string { return t.exporter }

// File returns the output file of the exporter "file".
func (t Trace) File() string { return t.file }

// Endpoint returns the host:port of the collector for the exporter "otlp".
func (t Trace) Endpoint() string { return t.endpoint }

// SampleRatio returns the fraction of new traces to sample, from 0 to 1.
func (t Trace) SampleRatio() float64 { return t.sampleRatio }

// Defaults of the trace section.
const (
	defaultTraceFile     = "trace.jsonl"
	defaultTraceEndpoint = "127.0.0.1:4318"
	defaultSampleRatio   = 1.0
)

var traceKeys = []string{"exporter", "file", "endpoint", "sample_ratio"}

func defaultTrace() Trace {
	return Trace{
		exporter: tracer.None, file: defaultTraceFile,
		endpoint: defaultTraceEndpoint, sampleRatio: defaultSampleRatio,
	}
}

// parseTrace reads the trace section.
func (c *parser) parseTrace(sec *ini.Section) Trace {
	c.checkKeys(sec, traceKeys...)
	t := defaultTrace()
	c.readString(sec, "exporter", &t.exporter)
	c.readString(sec, "file", &t.file)
	c.readString(sec, "endpoint", &t.endpoint)
	t.file = c.resolvePath(t.file)
	c.checkOneOf(sec, "exporter", t.exporter, tracer.Exporters())
	c.checkAddress(sec, "endpoint", t.endpoint)
	if sec.HasKey("sample_ratio") {
		v, err := strconv.ParseFloat(sec.Key("sample_ratio").String(), 64)
		if err != nil || !(v >= 0 && v <= 1) {
			c.addError(sec.Name(), "sample_ratio", "want a number from 0 to 1, not %q", sec.Key("sample_ratio").String())
		}
		t.sampleRatio = v
	}
	return t
}

// OptionalKeys returns the keys that have a default value, by section.
func OptionalKeys() map[string][]string {
	return map[string][]string{"policy": slices.Clone(policyKeys), "trace": slices.Clone(traceKeys)}
}
