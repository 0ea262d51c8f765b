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

// maxIdleConns is the maximum number of idle connections that are kept open per address.
const maxIdleConns = 16

// noSecret is used as the secret if none is set, which is allowed on loopback or if certificates identify the hosts.
const noSecret = "none"

// newPeerClient returns the client for calls to other hosts.
func (h *Host) newPeerClient() (*peer.Client, error) {
	tlsConfig, err := clientTLS(h.settings.TLS.Peers)
	if err != nil {
		return nil, err
	}
	transport := newTransport()
	transport.TLSClientConfig = tlsConfig
	client := peer.NewClient(&http.Client{Transport: transport}, peerSecret(h.settings))
	if tlsConfig != nil {
		client = client.WithTLS()
	}
	return client, nil
}

// peerSecret returns the secret that all hosts share, or noSecret if none is set.
func peerSecret(settings config.Host) string {
	if settings.Secret == "" {
		return noSecret
	}
	return string(settings.Secret)
}

// newTransport returns an HTTP transport that ignores proxy settings in the environment.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: time.Minute}
}

// timestampUnit is the resolution of the timestamps that hosts send to each other. Timestamps are rounded up, so that a sent
// timestamp is never below the clock reading from which it was made.
const timestampUnit = int64(1 << 16) // nanoseconds

// peerSender returns the id and timestamp that a request to another host contains.
func (h *Host) peerSender() peer.Sender {
	return peer.Sender{ID: h.id, Stamp: h.timestamp()}
}

// timestamp returns the current time of the host's hybrid clock in nanoseconds since 1970, rounded up to timestampUnit.
func (h *Host) timestamp() int64 {
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	wall := h.clock.Now(time.Now()).Wall
	return (wall + timestampUnit - 1) / timestampUnit * timestampUnit
}

// advanceClock advances the host's hybrid clock past a timestamp that another host sent.
func (h *Host) advanceClock(timestamp int64) {
	h.timelineMu.Lock()
	defer h.timelineMu.Unlock()
	h.clock.Update(time.Now(), timeline.Timestamp{Wall: timestamp})
}

// readRemoteEvents reads the timeline events of another host.
func (h *Host) readRemoteEvents(ctx context.Context, to peer.Target) ([]timeline.Event, error) {
	response, err := h.peers.Timeline(ctx, to, h.peerSender(), 0)
	if err != nil {
		return nil, err
	}
	return decodeEvents(response.GetEvents())
}

// recordMemberCall reports to the timeline and the state machine whether a member responded to a call.
func (h *Host) recordMemberCall(member string, err error) {
	h.recordReachability(member, err == nil)
	if err == nil {
		h.Apply(state.MemberResponded{Member: member})
		return
	}
	h.Apply(memberFailureEvent(member, err))
}
