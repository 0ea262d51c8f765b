package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/budget"
)

// TestGrow guards against a budget that evicts the wrong request when memory is short: a whole one, one whose caller makes progress, or
// any although that does not make enough room. It also guards against small responses that are refused because an endpoint sends large
// ones without end.
func TestGrow(t *testing.T) {
	const capacity = 100
	type holder struct {
		state      string // whole, receiving, answering or sending
		bytes      int64
		progressAt time.Duration
	}
	for name, test := range map[string]struct {
		holders []holder
		kind    budget.Kind
		bytes   int64
		verdict budget.Verdict
		evicted []int // indexes of holders
	}{
		"room":                       {[]holder{{"whole", 40, 0}, {"receiving", 40, 0}}, budget.Response, 20, budget.Granted, nil},
		"oldest progress first":      {[]holder{{"receiving", 40, 2}, {"receiving", 30, 1}, {"receiving", 30, 3}}, budget.Response, 20, budget.Pending, []int{1}},
		"several":                    {[]holder{{"receiving", 40, 2}, {"receiving", 30, 1}, {"receiving", 30, 3}}, budget.Response, 60, budget.Pending, []int{1, 0}},
		"whole requests stay":        {[]holder{{"whole", 90, 0}, {"receiving", 10, 0}}, budget.Response, 20, budget.Refused, nil},
		"bodies before responses":    {[]holder{{"sending", 50, 0}, {"receiving", 50, 5}}, budget.Response, 20, budget.Pending, []int{1}},
		"response that is not read":  {[]holder{{"sending", 50, 0}, {"whole", 50, 0}}, budget.Response, 20, budget.Pending, []int{0}},
		"response that is read":      {[]holder{{"sending", 50, 2 * time.Second}, {"whole", 50, 0}}, budget.Response, 20, budget.Refused, nil},
		"empty shares are not taken": {[]holder{{"receiving", 0, 0}, {"receiving", 100, 1}}, budget.Response, 1, budget.Pending, []int{1}},
		"room only for responses":    {[]holder{{"whole", 60, 0}}, budget.Body, 20, budget.Refused, nil},
		"body for a body":            {[]holder{{"receiving", 70, 0}}, budget.Body, 20, budget.Pending, []int{0}},
		"larger than the capacity":   {[]holder{{"receiving", 100, 0}}, budget.Response, 101, budget.Refused, nil},
		"largest response":           {[]holder{{"answering", 30, 0}, {"answering", 45, 1}, {"answering", 25, 2}}, budget.Response, 5, budget.Pending, []int{1}},
		"several responses":          {[]holder{{"answering", 45, 0}, {"answering", 48, 1}}, budget.Response, 11, budget.Pending, []int{1}},
		"similar responses":          {[]holder{{"answering", 50, 0}, {"answering", 50, 1}}, budget.Response, 13, budget.Refused, nil},
		"no response for a body":     {[]holder{{"answering", 75, 0}}, budget.Body, 5, budget.Refused, nil},
		"bodies first":               {[]holder{{"answering", 50, 0}, {"receiving", 50, 1}}, budget.Response, 5, budget.Pending, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			b := budget.New(capacity)
			shares := make([]budget.Share, len(test.holders))
			for i, h := range test.holders {
				_, verdict := b.Grow(0, &shares[i], budget.Response, h.bytes)
				qt.Assert(t, verdict, qt.Equals, budget.Granted)
			}
			for progressAt := range time.Duration(10) {
				for i, h := range test.holders {
					if h.progressAt != progressAt && !(progressAt == 9 && h.progressAt > 9) {
						continue
					}
					switch h.state {
					case "receiving":
						b.Receive(h.progressAt, &shares[i])
					case "answering":
						b.Answer(h.progressAt, &shares[i])
					case "sending":
						b.Send(h.progressAt, &shares[i])
					}
				}
			}
			share := new(budget.Share)
			list, verdict := b.Grow(2*time.Second, share, test.kind, test.bytes)
			qt.Check(t, verdict, qt.Equals, test.verdict)
			qt.Assert(t, list, qt.HasLen, len(test.evicted))
			for n, i := range test.evicted {
				qt.Check(t, list[n] == &shares[i], qt.IsTrue, qt.Commentf("evicted number %d is not holder %d", n, i))
				b.Close(list[n])
			}
			if verdict == budget.Pending {
				list, verdict = b.Grow(2*time.Second, share, test.kind, test.bytes)
				qt.Check(t, verdict, qt.Equals, budget.Granted, qt.Commentf("%d more evicted", len(list)))
			}
		})
	}
}

// TestDropped guards against a request that gets no memory for another response after it has given one up, and against one that gets more
// for the response that it must give up.
func TestDropped(t *testing.T) {
	b, large, small := budget.New(100), new(budget.Share), new(budget.Share)
	b.Answer(0, large)
	_, verdict := b.Grow(0, large, budget.Response, 90)
	qt.Assert(t, verdict, qt.Equals, budget.Granted)
	dropped, verdict := b.Grow(0, small, budget.Response, 20)
	qt.Assert(t, verdict, qt.Equals, budget.Pending)
	qt.Assert(t, dropped, qt.HasLen, 1)
	b.Progress(0, large)
	_, verdict = b.Grow(0, large, budget.Response, 1)
	qt.Check(t, verdict, qt.Equals, budget.Refused)
	b.Release(large, budget.Response, 90)
	b.Complete(0, large)
	for _, s := range []*budget.Share{small, large} {
		_, verdict = b.Grow(0, s, budget.Response, 50)
		qt.Check(t, verdict, qt.Equals, budget.Granted)
	}
	qt.Check(t, b.Held(budget.Response), qt.Equals, int64(100))
}

// TestInvariant guards against bytes that are counted twice or never released, and against a budget above its capacity.
func TestInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 50
		b := budget.New(capacity)
		shares := make([]*budget.Share, 5)
		held := make([][2]int64, len(shares))
		for i := range shares {
			shares[i] = &budget.Share{Owner: i}
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			i, kind := rapid.IntRange(0, len(shares)-1).Draw(t, "share"), budget.Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
			s, bytes := shares[i], rapid.Int64Range(0, 30).Draw(t, "bytes")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				b.Receive(now, s)
			case 1:
				b.Send(now, s)
			case 2:
				b.Complete(now, s)
			case 3:
				b.Progress(now, s)
			case 4:
				b.Release(s, kind, bytes)
				held[i][kind] = max(held[i][kind]-bytes, 0)
			case 5:
				b.Close(s)
				held[i] = [2]int64{}
				if s.Evicted() {
					shares[i] = &budget.Share{Owner: i}
				}
			case 6:
				b.Answer(now, s)
			default:
				list, verdict := b.Grow(now, s, kind, bytes)
				for _, e := range list {
					if e == s || !e.Evicted() && !e.Dropped() {
						t.Fatalf("a share was evicted for itself, or not marked as evicted or dropped")
					}
				}
				if verdict == budget.Granted {
					held[i][kind] += bytes
				}
			}
			var sum [2]int64
			for _, h := range held {
				sum[0] += h[0]
				sum[1] += h[1]
			}
			if got := [2]int64{b.Held(budget.Body), b.Held(budget.Response)}; got != sum || sum[0]+sum[1] > capacity {
				t.Fatalf("budget of %d holds %v, want %v", capacity, got, sum)
			}
		}
	})
}
