package messenger

import (
	"fmt"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc/encoding"
	grpcproto "google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
)

// countingCodec encodes protocol buffers. It counts and logs the messages that cannot be encoded or decoded:
// gRPC reports a reply that cannot be encoded to the caller only, after the handler has returned.
type countingCodec struct {
	encoding.CodecV2
	log *zap.Logger
}

// newCountingCodec returns a codec that logs to log, or only counts if that is nil.
func newCountingCodec(log *zap.Logger) countingCodec {
	if log == nil {
		log = zap.NewNop()
	}
	return countingCodec{CodecV2: encoding.GetCodecV2(grpcproto.Name), log: log}
}

// Marshal encodes a message.
func (c countingCodec) Marshal(v any) (mem.BufferSlice, error) {
	out, err := c.CodecV2.Marshal(v)
	if err != nil {
		c.report("encode", v, err)
	}
	return out, err
}

// Unmarshal decodes a message.
func (c countingCodec) Unmarshal(data mem.BufferSlice, v any) error {
	err := c.CodecV2.Unmarshal(data, v)
	if err != nil {
		c.report("decode", v, err)
	}
	return err
}

// report counts and logs a failure to encode or decode a message.
func (c countingCodec) report(step string, v any, err error) {
	name := messageName(v)
	MessagesFailed(step, name).Inc()
	c.log.Error("message cannot be encoded or decoded", zap.String("step", step), zap.String("message", name), zap.Error(err))
}

// messageName returns the type of a message without its package.
func messageName(v any) string {
	name := fmt.Sprintf("%T", v)
	return name[strings.LastIndexByte(name, '.')+1:]
}

// MessagesFailed returns the counter of messages of a type between processes of a fleet that could not be
// encoded or decoded.
func MessagesFailed(step, message string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("rattanhoist_messages_failed_total{step=%q,message=%q}", step, message))
}
