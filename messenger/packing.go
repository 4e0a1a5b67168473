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

// packingName is the name of the compression on the wire. The rows of a commit repeat each name in
// keys and values.
const packingName = "s2"

// errPacked is returned for a packed message that would exceed maxMessageBytes.
var errPacked = merry.Sentinel("packed message is too large")

func init() { encoding.RegisterCompressor(packing{}) }

// packing implements encoding.Compressor with one block for each message. Packing a kilobyte takes
// about a microsecond.
type packing struct{}

// Name returns the name on the wire.
func (packing) Name() string { return packingName }

// Compress returns a writer that packs everything written to it when it is closed.
func (packing) Compress(w io.Writer) (io.WriteCloser, error) { return &packer{to: w}, nil }

// sendPlainAnswer makes the server send the answer to a packed call unpacked. The answer is short, and
// packing it would grow the stack of a goroutine that serves a single call, which takes longer than
// the packing itself.
func sendPlainAnswer(ctx context.Context) {
	// It returns an error only outside a call.
	_ = grpc.SetSendCompressor(ctx, encoding.Identity)
}

// packer collects a message and packs it when it is closed.
type packer struct {
	bytes.Buffer
	to io.Writer
}

func (p *packer) Close() error {
	_, err := p.to.Write(s2.Encode(nil, p.Bytes()))
	return err
}

// Decompress unpacks one message. It checks the stated size first, because a few bytes can state
// gigabytes.
func (packing) Decompress(r io.Reader) (io.Reader, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	n, err := s2.DecodedLen(b)
	if err != nil {
		return nil, err
	}
	if n > maxMessageBytes {
		return nil, merry.Wrap(errPacked, merry.AppendMessagef("%d bytes", n))
	}
	out, err := s2.Decode(nil, b)
	return bytes.NewReader(out), err
}

// packedMirror is a client of a mirror's keeper that sends commits packed.
type packedMirror struct {
	BudgetKeeperClient
	// plainUntil is until when commits are sent unpacked, because a mirror of an earlier version could
	// not unpack one, in nanoseconds since the Unix epoch.
	plainUntil atomic.Int64
}

// NewPackedMirror returns a client that packs commits, and sends them unpacked for a while after the
// mirror could not unpack one.
func NewPackedMirror(k BudgetKeeperClient) BudgetKeeperClient {
	return &packedMirror{BudgetKeeperClient: k}
}

// Copy updates the mirror's copy from one commit to the next.
func (m *packedMirror) Copy(ctx context.Context, r *CopyRequest, o ...grpc.CallOption) (*CopyReply, error) {
	if time.Now().UnixNano() < m.plainUntil.Load() {
		return m.BudgetKeeperClient.Copy(ctx, r, o...)
	}
	out, err := m.BudgetKeeperClient.Copy(ctx, r, append(o, grpc.UseCompressor(packingName))...)
	if status.Code(err) != codes.Unimplemented {
		return out, err
	}
	m.plainUntil.Store(time.Now().Add(plainDuration).UnixNano())
	return m.BudgetKeeperClient.Copy(ctx, r, o...)
}
