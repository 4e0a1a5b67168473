package budgeter

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"rattanhoist.example/rattanhoist"
	"rattanhoist.example/rattanhoist/messenger"
)

// counterKey is the row of the last used transfer number.
const counterKey = "next_transfer"

func write(bucket, key string, m proto.Message) Write {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshalling fails only on invalid UTF-8, which the wire rejects.
		panic(err)
	}
	return Write{Bucket: bucket, Key: key, Value: append([]byte{}, b...)}
}

func (v *Vault) writeBook(workspace string) Write {
	return write(BucketBooks, workspace, v.Book(workspace))
}

func (v *Vault) writeCounter() Write {
	return Write{Bucket: BucketFences, Key: "#" + counterKey, Value: []byte(strconv.FormatUint(v.nextTransfer, 10))}
}

func (*Vault) writeCharge(c *messenger.Charge) Write {
	return write(BucketCharges, c.Workspace+"/"+c.RequestId, c)
}

func (v *Vault) writeLease(workspace, router string) Write {
	b := v.books[workspace]
	var last string
	var inc rattanhoist.Incarnation
	for key, l := range b.leases {
		if key == leaseKey(router, l.incarnation) && l.incarnation >= inc {
			last, inc = key, l.incarnation
		}
	}
	return v.writeLeaseAt(workspace, last)
}

func (v *Vault) writeLeaseAt(workspace, key string) Write {
	l := v.books[workspace].leases[key]
	router, _, _ := strings.Cut(key, "#")
	return write(BucketLeases, workspace+"/"+key, &messenger.LeaseRequest{
		Workspace: workspace, Router: router, Incarnation: uint64(l.incarnation),
		Sequence: l.sequence, WantTokens: int64(l.outstanding),
	})
}

// Restore takes one stored row; the shell gives it every row of Buckets.
func (v *Vault) Restore(bucket, key string, value []byte) error {
	switch bucket {
	case BucketBooks:
		return v.restoreBook(value)
	case BucketTopUps:
		return into(value, &messenger.TopUpRequest{}, func(m *messenger.TopUpRequest) { v.topUps[m.TopUpId] = m })
	case BucketLeases:
		return into(value, &messenger.LeaseRequest{}, v.restoreLease)
	case BucketCharges:
		return into(value, &messenger.Charge{}, func(m *messenger.Charge) {
			v.charges[rattanhoist.NewRequestKey(m.Workspace, m.RequestId)] = m
		})
	case BucketTransfers:
		return into(value, &messenger.Transfer{}, v.restoreTransfer)
	case BucketReceived:
		return into(value, &messenger.Transfer{}, func(m *messenger.Transfer) { v.received[m.TransferId] = m })
	case BucketFences:
		return v.restoreFence(key, value)
	default:
		return nil
	}
}

func into[M proto.Message](value []byte, m M, f func(M)) error {
	if err := proto.Unmarshal(value, m); err != nil {
		return ErrCorrupt
	}
	f(m)
	return nil
}

func (v *Vault) restoreBook(value []byte) error {
	return into(value, &messenger.Book{}, func(m *messenger.Book) {
		b := v.book(m.Workspace)
		b.minted = rattanhoist.Tokens(m.MintedTokens)
		b.received = rattanhoist.Tokens(m.ReceivedTokens)
		b.unspent = rattanhoist.Tokens(m.UnspentTokens)
		b.charged = rattanhoist.Tokens(m.ChargedTokens)
		b.given = rattanhoist.Tokens(m.GivenTokens)
		b.frozen = rattanhoist.Tokens(m.FrozenTokens)
	})
}

func (v *Vault) restoreLease(m *messenger.LeaseRequest) {
	inc := rattanhoist.Incarnation(m.Incarnation)
	v.book(m.Workspace).leases[leaseKey(m.Router, inc)] = &lease{
		incarnation: inc, sequence: m.Sequence, outstanding: rattanhoist.Tokens(m.WantTokens),
	}
}

func (v *Vault) restoreTransfer(m *messenger.Transfer) {
	v.pending[m.TransferId] = m
	_, number, _ := strings.Cut(m.TransferId, "/")
	if n, err := strconv.ParseUint(number, 10, 64); err == nil {
		v.nextTransfer = max(v.nextTransfer, n)
	}
}

func (v *Vault) restoreFence(key string, value []byte) error {
	if key == "#"+counterKey {
		n, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil {
			return ErrCorrupt
		}
		v.nextTransfer = max(v.nextTransfer, n)
		return nil
	}
	return into(value, &messenger.FenceRequest{}, func(m *messenger.FenceRequest) {
		v.fenced[m.Router] = rattanhoist.Incarnation(m.Incarnation)
	})
}
