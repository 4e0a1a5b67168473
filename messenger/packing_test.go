package messenger

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestPackedMessageComesBackWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, text := range []string{"", "a", strings.Repeat("workspace-000001/", 4000)} {
		var wire bytes.Buffer
		w, err := packing{}.Compress(&wire)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for part := range strings.SplitSeq(text, "-") {
			_, _ = io.WriteString(w, part)
		}
		g.Expect(w.Close()).To(gomega.Succeed())
		g.Expect(wire.Len()).To(gomega.BeNumerically("<=", len(text)/2+4))
		r, err := packing{}.Decompress(&wire)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b, err := io.ReadAll(r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(b)).To(gomega.Equal(strings.ReplaceAll(text, "-", "")))
	}
}

// Guards against a keeper that runs out of memory on a message of a few bytes, which states a size
// above the maximum, because memory is allocated before the size is checked.
func TestPackedMessageMayNotClaimTooMuch(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := packing{}.Decompress(bytes.NewReader(binary.AppendUvarint(nil, maxMessageBytes+1)))
	g.Expect(err).To(gomega.MatchError(errPacked))
}

// earlierMirror can't unpack messages. It records whether each commit was packed.
type earlierMirror struct {
	BudgetKeeperClient
	packed []bool
}

func (m *earlierMirror) Copy(_ context.Context, r *CopyRequest, o ...grpc.CallOption) (*CopyReply, error) {
	m.packed = append(m.packed, len(o) > 0)
	if len(o) > 0 {
		return nil, status.Error(codes.Unimplemented, "grpc: Decompressor is not installed")
	}
	return &CopyReply{State: r.State}, nil
}

// Guards against a keeper that loses its mirror while that is of an earlier version, because commits
// are only sent packed.
func TestEarlierMirrorGetsPlainCommits(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &earlierMirror{}
	k := NewPackedMirror(m)
	for n := range uint64(3) {
		out, err := k.Copy(t.Context(), &CopyRequest{State: &CopyState{Number: n}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(out.State.Number).To(gomega.Equal(n))
	}
	g.Expect(m.packed).To(gomega.Equal([]bool{true, false, false, false}))
}
