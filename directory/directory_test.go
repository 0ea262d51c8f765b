package directory_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/directory"
)

// registered returns the change that registers an endpoint.
func registered(id string) directory.Change {
	return directory.Change{ID: id, Endpoint: directory.Endpoint{ID: id, StartedAt: 1}}
}

// removed returns the change that removes the registration of an endpoint.
func removed(id string) directory.Change { return directory.Change{ID: id, Removed: true} }

// ids returns the IDs of the registered endpoints in ascending order.
func ids(d *directory.Directory) []string {
	list := []string{}
	for _, e := range d.Endpoints() {
		list = append(list, e.ID)
	}
	return list
}

// TestRemoval guards against keeping endpoints that have gone, and against dropping all endpoints because their
// registrations lapsed while the registry was unreachable.
func TestRemoval(t *testing.T) {
	const reachableAgain = 20 * time.Second // when the registry is reachable again
	for name, test := range map[string]struct {
		apply func(d *directory.Directory)
		at    time.Duration
		want  []string
	}{
		"removed while the registry is reachable": {
			func(d *directory.Directory) { d.Apply(reachableAgain, []directory.Change{removed("a")}) }, reachableAgain, []string{"b"},
		},
		"missing after a full read": {
			func(d *directory.Directory) {
				d.Apply(reachableAgain, []directory.Change{removed("a"), registered("b")})
			}, reachableAgain, []string{"b"},
		},
		"lapsed while the registry was unreachable": {
			func(d *directory.Directory) {
				d.SetUnreachable()
				d.SetReachable(reachableAgain)
				d.Apply(reachableAgain, []directory.Change{removed("a"), removed("b")})
			}, reachableAgain + time.Second, []string{"a", "b"},
		},
		"not registered again within two seconds": {
			func(d *directory.Directory) {
				d.SetUnreachable()
				d.SetReachable(reachableAgain)
				d.Apply(reachableAgain, []directory.Change{removed("a"), removed("b")})
			}, reachableAgain + 2*time.Second, []string{},
		},
		"registered again within two seconds": {
			func(d *directory.Directory) {
				d.SetUnreachable()
				d.SetReachable(reachableAgain)
				d.Apply(reachableAgain, []directory.Change{removed("a"), removed("b")})
				d.Apply(reachableAgain+time.Second, []directory.Change{registered("a")})
			}, reachableAgain + 2*time.Second, []string{"a"},
		},
		"leaving before it lapsed": {
			func(d *directory.Directory) {
				leaving := registered("a")
				leaving.Endpoint.Leaving = true
				d.Apply(9*time.Second, []directory.Change{leaving})
				d.SetUnreachable()
				d.SetReachable(reachableAgain)
				d.Apply(reachableAgain, []directory.Change{removed("a"), removed("b")})
			}, reachableAgain, []string{"b"},
		},
		"lapsed a second time": {
			func(d *directory.Directory) {
				d.SetUnreachable()
				d.SetReachable(reachableAgain)
				d.Apply(reachableAgain, []directory.Change{removed("a")})
				d.Apply(reachableAgain+1900*time.Millisecond, []directory.Change{removed("a")})
			}, reachableAgain + 2*time.Second, []string{"b"},
		},
		"unknown endpoint": {
			func(d *directory.Directory) { d.Apply(reachableAgain, []directory.Change{removed("c")}) }, reachableAgain, []string{"a", "b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Apply(0, []directory.Change{registered("a"), registered("b")})
			test.apply(d)
			d.RemoveLapsed(test.at)
			qt.Check(t, ids(d), qt.DeepEquals, test.want)
		})
	}
}

// TestSame guards against taking a restarted process for the one that had the same ID before.
func TestSame(t *testing.T) {
	e := directory.Endpoint{ID: "a", Address: "10.0.0.1:80", StartedAt: 7, Slots: 1}
	for name, test := range map[string]struct {
		other directory.Endpoint
		want  bool
	}{
		"same process":  {directory.Endpoint{ID: "a", Address: "10.0.0.1:80", StartedAt: 7, Leaving: true}, true},
		"restarted":     {directory.Endpoint{ID: "a", Address: "10.0.0.1:80", StartedAt: 8}, false},
		"other address": {directory.Endpoint{ID: "a", Address: "10.0.0.2:80", StartedAt: 7}, false},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, e.SameProcess(test.other), qt.Equals, test.want) })
	}
}

// TestRestored guards against requests to an endpoint that has announced that it leaves and that the backup of a restored registry calls
// ready, and against dropping endpoints that the backup does not have yet.
func TestRestored(t *testing.T) {
	d := directory.New()
	leaving := directory.Endpoint{ID: "a", Address: "10.0.0.1:80", StartedAt: 7, Leaving: true}
	d.Apply(time.Minute, []directory.Change{{ID: "a", Endpoint: leaving}, registered("b")})
	d.SetRestored(2 * time.Minute)
	ready := leaving
	ready.Leaving = false
	d.Apply(2*time.Minute, []directory.Change{{ID: "a", Endpoint: ready}, removed("b")})
	got, _ := d.Endpoint("a")
	qt.Check(t, got.Leaving, qt.IsTrue)
	qt.Check(t, ids(d), qt.DeepEquals, []string{"a", "b"})
	ready.StartedAt = 8
	d.Apply(2*time.Minute, []directory.Change{{ID: "a", Endpoint: ready}})
	got, _ = d.Endpoint("a")
	qt.Check(t, got.Leaving, qt.IsFalse)
	qt.Check(t, d.RemoveLapsed(2*time.Minute+2*time.Second), qt.IsTrue)
	qt.Check(t, ids(d), qt.DeepEquals, []string{"a"})
}

// TestMarkLeaving guards against an endpoint that is taken to be ready although its process has said in a response that it leaves,
// and against a later process that inherits that.
func TestMarkLeaving(t *testing.T) {
	for name, test := range map[string]struct {
		changes []directory.Change
		want    bool
	}{
		"registered as ready again":  {[]directory.Change{registered("a")}, true},
		"removed and registered":     {[]directory.Change{removed("a"), registered("a")}, true},
		"another process":            {[]directory.Change{{ID: "a", Endpoint: directory.Endpoint{ID: "a", StartedAt: 2}}}, false},
		"another process and back":   {[]directory.Change{{ID: "a", Endpoint: directory.Endpoint{ID: "a", StartedAt: 2}}, registered("a")}, true},
		"another address, same time": {[]directory.Change{{ID: "a", Endpoint: directory.Endpoint{ID: "a", StartedAt: 1, Address: "10.0.0.9:80"}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.SetReachable(0)
			d.Apply(time.Minute, []directory.Change{registered("a")})
			before, _ := d.Endpoint("a")
			qt.Check(t, d.MarkLeaving(time.Minute, before), qt.IsTrue)
			qt.Check(t, d.MarkLeaving(time.Minute, before), qt.IsFalse)
			marked, _ := d.Endpoint("a")
			qt.Check(t, marked.Leaving, qt.IsTrue)
			d.Apply(2*time.Minute, test.changes)
			got, _ := d.Endpoint("a")
			qt.Check(t, got.Leaving, qt.Equals, test.want)
		})
	}
}
