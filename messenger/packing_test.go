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

// Symptom: a keeper runs out of memory on a message of a few bytes. Sequence:
// a message that claims to be larger than any may be. Cause: memory taken
// before the size is looked at.
func TestPackedMessageMayNotClaimTooMuch(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := packing{}.Decompress(bytes.NewReader(binary.AppendUvarint(nil, maxMessage+1)))
	g.Expect(err).To(gomega.MatchError(errPacked))
}

// earlierMirror can't unpack; it notes how each commit came.
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

// Symptom: a keeper loses its mirror for as long as that is of an earlier
// version. Sequence: commits to such a mirror. Cause: commits that only come
// packed.
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
