// Package peer is the twirp service between hosts, with its client.
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
	bearer         = "Bearer "
	maxRequestSize = 64 << 10 // bytes; requests hold names and numbers only
	memberMeta     = "member" // twirp error meta with the id of the member that answers
)

// Backend carries out the calls; the header of a request has been checked, and the id of the
// answering member is filled in afterwards. It returns a Reply with the stamp of its hybrid clock.
type Backend = Peer

// NewServer returns the handler of the service for the member with the id. It refuses callers
// without the secret, all of them when the secret is empty, and calls meant for another member.
func NewServer(service Backend, id, secret string) http.Handler {
	server := NewPeerServer(service, twirp.WithServerInterceptors(forMember(id)))
	want := sha256.Sum256([]byte(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
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

// forMember refuses requests for another member and names the answering member in the response.
func forMember(id string) twirp.Interceptor {
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
			return response, setReply(response, id)
		}
	}
}

func setReply(response any, id string) error {
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
	default:
		return twirp.InternalErrorf("peer: response of type %T has no reply", response)
	}
	if *reply == nil {
		*reply = &Reply{}
	}
	(*reply).From = id
	return nil
}
