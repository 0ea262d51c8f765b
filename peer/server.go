// Package peer contains the twirp service between hosts and its client.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

const (
	bearerPrefix   = "Bearer "
	maxRequestSize = 64 << 10 // bytes; requests contain only names and numbers
	memberMeta     = "member" // key of the twirp error metadata with the id of the responding member
)

// Backend carries out the calls. The server checks the header of a request before the call and sets the id of the
// responding member after it. The backend sets the timestamp of its hybrid clock in the Reply.
type Backend = Peer

// NewServer returns the HTTP handler of the service for the member with the id. It refuses calls without the secret and
// calls to another member. When the secret is empty, it refuses all calls.
func NewServer(service Backend, id, secret string) http.Handler {
	server := NewPeerServer(service, twirp.WithServerInterceptors(memberInterceptor(id)))
	want := sha256.Sum256([]byte(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(token))
		same := subtle.ConstantTimeCompare(got[:], want[:]) == 1
		if !found || secret == "" || !same {
			twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "peer: shared secret is missing or wrong"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestSize)
		server.ServeHTTP(w, r)
	})
}

// memberInterceptor refuses requests that are addressed to another member or name no sender, and sets the responding
// member in the response.
func memberInterceptor(id string) twirp.Interceptor {
	return func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			header := request.(interface{ GetHeader() *Header }).GetHeader()
			if header.GetTo() != id || header.GetFrom() == "" {
				err := twirp.NewError(twirp.FailedPrecondition, "peer: request is for another member or names no sender")
				return nil, err.WithMeta(memberMeta, id)
			}
			response, err := next(ctx, request)
			if err != nil {
				return nil, err
			}
			return response, setReplySender(response, id)
		}
	}
}

// setReplySender sets the id of the responding member in the Reply of the response.
func setReplySender(response any, id string) error {
	var reply **Reply
	switch r := response.(type) {
	case *SyncResponse:
		reply = &r.Reply
	case *AnnounceResponse:
		reply = &r.Reply
	case *BorrowResponse:
		reply = &r.Reply
	case *RepayResponse:
		reply = &r.Reply
	case *SummaryResponse:
		reply = &r.Reply
	case *FetchResponse:
		reply = &r.Reply
	case *ReadResponse:
		reply = &r.Reply
	case *WriteResponse:
		reply = &r.Reply
	case *TimelineResponse:
		reply = &r.Reply
	case *ConfigurationResponse:
		reply = &r.Reply
	default:
		return twirp.InternalErrorf("peer: response of type %T has no reply", response)
	}
	if *reply == nil {
		*reply = &Reply{}
	}
	(*reply).From = id
	return nil
}
