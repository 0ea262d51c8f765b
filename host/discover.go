package host

import (
	"context"

	"magnoliahoist/state"
)

// discoverMembers reads the shared state from the hosts at the given addresses as long as this host's copy is empty, which
// means that the table service has not responded since the start. Once this host knows the members, it stays fresh through
// a majority of its witness group. It holds no leases or parts and counts in no majority until it has written its own
// member row.
func (h *Host) discoverMembers(addresses map[string]bool) {
	if h.View().Revision() > 0 {
		return
	}
	for address := range addresses {
		h.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			member, err := h.peers.Identify(ctx, address, h.peerSender())
			if err != nil || member == h.id {
				return
			}
			h.syncMember(ctx, state.SyncMember{Member: member, Address: address})
		})
	}
}
