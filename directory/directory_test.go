package directory_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/directory"
)

func put(id string) directory.Change {
	return directory.Change{ID: id, Endpoint: directory.Endpoint{ID: id, Born: 1}}
}

func gone(id string) directory.Change { return directory.Change{ID: id, Removed: true} }

func ids(d *directory.Directory) []string {
	list := []string{}
	for _, e := range d.Endpoints() {
		list = append(list, e.ID)
	}
	return list
}

// TestRemoval guards against work for endpoints that are gone, and against dropping all endpoints because their
// registrations lapsed while the registry was away.
func TestRemoval(t *testing.T) {
	const back = 20 * time.Second // return of the registry
	for name, test := range map[string]struct {
		play func(d *directory.Directory)
		at   time.Duration
		want []string
	}{
		"removed while the registry is well": {
			func(d *directory.Directory) { d.Apply(back, []directory.Change{gone("a")}) }, back, []string{"b"},
		},
		"missing after a read of everything": {
			func(d *directory.Directory) { d.Apply(back, []directory.Change{gone("a"), put("b")}) }, back, []string{"b"},
		},
		"lapsed while the registry was away": {
			func(d *directory.Directory) {
				d.Lose()
				d.Regain(back)
				d.Apply(back, []directory.Change{gone("a"), gone("b")})
			}, back + time.Second, []string{"a", "b"},
		},
		"still missing two seconds after": {
			func(d *directory.Directory) {
				d.Lose()
				d.Regain(back)
				d.Apply(back, []directory.Change{gone("a"), gone("b")})
			}, back + 2*time.Second, []string{},
		},
		"back within two seconds": {
			func(d *directory.Directory) {
				d.Lose()
				d.Regain(back)
				d.Apply(back, []directory.Change{gone("a"), gone("b")})
				d.Apply(back+time.Second, []directory.Change{put("a")})
			}, back + 2*time.Second, []string{"a"},
		},
		"leaving before it lapsed": {
			func(d *directory.Directory) {
				leaving := put("a")
				leaving.Endpoint.Leaving = true
				d.Apply(9*time.Second, []directory.Change{leaving})
				d.Lose()
				d.Regain(back)
				d.Apply(back, []directory.Change{gone("a"), gone("b")})
			}, back, []string{"b"},
		},
		"lapsed a second time": {
			func(d *directory.Directory) {
				d.Lose()
				d.Regain(back)
				d.Apply(back, []directory.Change{gone("a")})
				d.Apply(back+1900*time.Millisecond, []directory.Change{gone("a")})
			}, back + 2*time.Second, []string{"b"},
		},
		"unknown": {
			func(d *directory.Directory) { d.Apply(back, []directory.Change{gone("c")}) }, back, []string{"a", "b"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Apply(0, []directory.Change{put("a"), put("b")})
			test.play(d)
			d.Sweep(test.at)
			qt.Check(t, ids(d), qt.DeepEquals, test.want)
		})
	}
}

// TestSame guards against taking a process that started again under its id for the one before.
func TestSame(t *testing.T) {
	e := directory.Endpoint{ID: "a", Address: "10.0.0.1:80", Born: 7, Slots: 1}
	for name, test := range map[string]struct {
		other directory.Endpoint
		want  bool
	}{
		"same process":  {directory.Endpoint{ID: "a", Address: "10.0.0.1:80", Born: 7, Leaving: true}, true},
		"started again": {directory.Endpoint{ID: "a", Address: "10.0.0.1:80", Born: 8}, false},
		"moved":         {directory.Endpoint{ID: "a", Address: "10.0.0.2:80", Born: 7}, false},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, e.Same(test.other), qt.Equals, test.want) })
	}
}
