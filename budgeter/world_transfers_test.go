package budgeter_test

import (
	"rattanhoist.example/rattanhoist/budgeter"
	"rattanhoist.example/rattanhoist/messenger"
)

// resend sends unconfirmed transfers again. No transfer may be sent while a
// commit is on one disk only.
func (w *world) resend(k *keeper) {
	if k.vault == nil || k.copier.Mode() != budgeter.ModePaired {
		return
	}
	for _, t := range k.vault.PendingTransfers() {
		w.give(k, t)
	}
}

// give sends a transfer to its zone and the confirmation back.
func (w *world) give(k *keeper, t *messenger.Transfer) {
	o := w.keepers[t.ToZone]
	w.send(k.zone, o.zone, func() {
		got, err := w.commit(o, budgeter.ReceiveTransfers{Request: &messenger.GiveRequest{Transfers: []*messenger.Transfer{t}}})
		if got == nil || err != nil {
			return
		}
		w.send(o.zone, k.zone, func() {
			w.commit(k, budgeter.ConfirmTransfers{TransferIDs: got.(*messenger.GiveReply).AcceptedIds})
		})
	})
}

// ask makes a zone request rights from another one.
func (w *world) ask(k, o *keeper, workspace string, n int64) {
	if k.vault == nil || k == o {
		return
	}
	r := &messenger.AskRequest{Workspace: workspace, Zone: k.zone, WantTokens: n, VaultIncarnation: k.vault.Incarnation()}
	w.send(k.zone, o.zone, func() {
		got, err := w.commit(o, budgeter.RequestTransfer{Request: r})
		if got == nil || err != nil || got.(*messenger.AskReply).Transfer == nil {
			return
		}
		w.counts["given"]++
		w.give(o, got.(*messenger.AskReply).Transfer)
	})
}
