package host

import (
	"context"

	"magnoliahoist/state"
)

// discover learns the shared state from the hosts of the platform's list, while the table service has
// not answered since the start. Once it knows the members, the host stays fresh by a majority of them; it
// holds nothing and counts in no majority until it has written its own row.
func (h *Host) discover(addresses map[string]bool) {
	if h.View().Revision() > 0 {
		return
	}
	for address := range addresses {
		h.run(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			member, err := h.peers.Identify(ctx, address, h.sender())
			if err != nil || member == h.id {
				return
			}
			h.syncMember(ctx, state.SyncMember{Member: member, Address: address})
		})
	}
}
