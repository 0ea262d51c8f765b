package object_test

import (
	"context"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"magnoliahoist/fakeobject"
	"magnoliahoist/object"
)

// Guards against an object that is written although the precondition of the request does not hold. The
// name contains characters that must be escaped in the path.
func TestConditions(t *testing.T) {
	c := qt.New(t)
	store := fakeobject.New(fakeobject.Settings{})
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	defer store.Stop()
	client, ctx := object.New(server.URL, server.Client()), context.Background()
	const name = "call/yard one/a%2F"
	_, err := client.Get(ctx, name)
	c.Assert(errors.Is(err, object.ErrNotFound), qt.IsTrue)
	tag, err := client.Create(ctx, name, []byte("one"))
	c.Assert(err, qt.IsNil)
	_, err = client.Create(ctx, name, []byte("two"))
	c.Assert(errors.Is(err, object.ErrConflict), qt.IsTrue)
	next, err := client.Replace(ctx, name, tag, []byte("three"))
	c.Assert(err, qt.IsNil)
	_, err = client.Replace(ctx, name, tag, []byte("four"))
	c.Assert(errors.Is(err, object.ErrConflict), qt.IsTrue)
	got, err := client.Get(ctx, name)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, object.Object{Data: []byte("three"), EntityTag: next})
}
