package messenger

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/s2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/status"
)

// packingName is the name of the compression on the wire. The rows of a commit
// say each name several times, in keys and values.
const packingName = "s2"

// errPacked says that a packed message is larger than any may be.
var errPacked = merry.Sentinel("packed message is too large")

func init() { encoding.RegisterCompressor(packing{}) }

// packing implements encoding.Compressor: a block for each message, in a
// microsecond for one of a kilobyte.
type packing struct{}

// Name returns the name on the wire.
func (packing) Name() string { return packingName }

// Compress packs what is written once the writer is closed.
func (packing) Compress(w io.Writer) (io.WriteCloser, error) { return &packer{to: w}, nil }

// answerPlain keeps the answer to a packed call plain. It is short, and to pack
// it would grow the stack of a goroutine that lives for one call, which takes
// longer than the packing.
func answerPlain(ctx context.Context) {
	// It fails only outside a call.
	_ = grpc.SetSendCompressor(ctx, encoding.Identity)
}

type packer struct {
	bytes.Buffer
	to io.Writer
}

func (p *packer) Close() error {
	_, err := p.to.Write(s2.Encode(nil, p.Bytes()))
	return err
}

// Decompress unpacks one message. It looks at the size first: a few bytes may
// claim gigabytes.
func (packing) Decompress(r io.Reader) (io.Reader, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	n, err := s2.DecodedLen(b)
	if err != nil {
		return nil, err
	}
	if n > maxMessage {
		return nil, merry.Wrap(errPacked, merry.AppendMessagef("%d bytes", n))
	}
	out, err := s2.Decode(nil, b)
	return bytes.NewReader(out), err
}

// packedMirror is a mirror's keeper to which commits go packed.
type packedMirror struct {
	BudgetKeeperClient
	// Plain is when to try again after a mirror of an earlier version could
	// not unpack, in nanoseconds since the Unix epoch.
	plain atomic.Int64
}

// NewPackedMirror returns a keeper whose commits are packed on the wire, or
// go plain for a while where the mirror can't unpack them.
func NewPackedMirror(k BudgetKeeperClient) BudgetKeeperClient {
	return &packedMirror{BudgetKeeperClient: k}
}

// Copy brings the mirror's copy from one commit to the next.
func (m *packedMirror) Copy(ctx context.Context, r *CopyRequest, o ...grpc.CallOption) (*CopyReply, error) {
	if time.Now().UnixNano() < m.plain.Load() {
		return m.BudgetKeeperClient.Copy(ctx, r, o...)
	}
	out, err := m.BudgetKeeperClient.Copy(ctx, r, append(o, grpc.UseCompressor(packingName))...)
	if status.Code(err) != codes.Unimplemented {
		return out, err
	}
	m.plain.Store(time.Now().Add(plainFor).UnixNano())
	return m.BudgetKeeperClient.Copy(ctx, r, o...)
}
