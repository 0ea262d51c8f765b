package host

import (
	"context"
	"net/http"
	"time"

	"magnoliahoist/config"
	"magnoliahoist/peer"
	"magnoliahoist/state"
	"magnoliahoist/timeline"
)

// idleConnections is how many connections to one address stay open.
const idleConnections = 16

// noSecret stands for the secret when none is set: on loopback, or when certificates identify hosts.
const noSecret = "none"

// newPeers returns the client for other hosts.
func (h *Host) newPeers() (*peer.Client, error) {
	secure, err := clientTLS(h.settings.TLS.Peers)
	if err != nil {
		return nil, err
	}
	transport := platformTransport()
	transport.TLSClientConfig = secure
	client := peer.NewClient(&http.Client{Transport: transport}, peerSecret(h.settings))
	if secure != nil {
		client = client.WithTLS()
	}
	return client, nil
}

func peerSecret(settings config.Host) string {
	if settings.Secret == "" {
		return noSecret
	}
	return string(settings.Secret)
}

// platformTransport returns a transport that does not use a proxy from the environment.
func platformTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
}

// stampUnit is the resolution of stamps between hosts; they are rounded up, so that a stamp that was
// received is never below the one that was sent.
const stampUnit = int64(1 << 16) // nanoseconds

// sender returns the header of a request to another host.
func (h *Host) sender() peer.Sender {
	return peer.Sender{ID: h.id, Stamp: h.stamp()}
}

func (h *Host) stamp() int64 {
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	wall := h.clock.Now(time.Now()).Wall
	return (wall + stampUnit - 1) / stampUnit * stampUnit
}

// observe advances the clock past the stamp of another host.
func (h *Host) observe(stamp int64) {
	h.ringMu.Lock()
	defer h.ringMu.Unlock()
	h.clock.Update(time.Now(), timeline.Stamp{Wall: stamp})
}

// remoteEvents asks another host for its events.
func (h *Host) remoteEvents(ctx context.Context, to peer.Target) ([]timeline.Event, error) {
	answer, err := h.peers.Timeline(ctx, to, h.sender(), 0)
	if err != nil {
		return nil, err
	}
	return decodeEvents(answer.GetEvents())
}

// sawMember reports how an exchange with a member ended.
func (h *Host) sawMember(member string, err error) {
	h.recordExchange(member, err == nil)
	if err == nil {
		h.Apply(state.Answered{Member: member})
		return
	}
	h.Apply(missedOrReplaced(member, err))
}
