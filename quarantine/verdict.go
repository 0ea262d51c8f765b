package quarantine

import "time"

// Verdict says whether a request may be sent.
type Verdict interface{ isVerdict() }

// Sound is the verdict on a request without a part under suspicion.
type Sound struct{}

// Suspected is the verdict on a request with parts that may crash engines. It may be sent as a trial, one at a time for each
// part, to an engine where little would be lost, and is not repeated.
type Suspected struct {
	Parts []Part
	// BlockEnded is since when a part may be tried again that was blocked; 0 if none was. Hosts start these trials one after the
	// other.
	BlockEnded time.Duration
}

// Blocked is the verdict on a request with a part that crashes engines. It must not be sent.
type Blocked struct {
	Part  Part
	Until time.Duration
}

func (Sound) isVerdict()     {}
func (Suspected) isVerdict() {}
func (Blocked) isVerdict()   {}

// jointTrialDelay is for how long after a block only requests without other parts under suspicion try the part again. A crash under a
// request with several of them tells less.
const jointTrialDelay = 5 * time.Second

// Judge returns the verdict on a request of a pool with the parts of its prompt, in their order.
func (l *Ledger) Judge(now time.Duration, pool string, parts []uint64) Verdict {
	if len(l.byPart) == 0 {
		return Sound{}
	}
	var suspected Suspected
	for _, id := range candidateParts(parts) {
		part := Part{pool, id}
		if len(l.byPart[part]) == 0 {
			continue
		}
		found := l.assessFor(now, part, parts)
		switch found.level {
		case levelNone:
			continue
		case levelBlocked:
			return Blocked{Part: part, Until: found.until}
		case levelBlockEnded:
			suspected.BlockEnded = max(suspected.BlockEnded, found.until)
		case levelSuspected:
		}
		suspected.Parts = append(suspected.Parts, part)
	}
	switch {
	case len(suspected.Parts) == 0:
		return Sound{}
	case len(suspected.Parts) > 1 && suspected.BlockEnded > 0:
		suspected.BlockEnded += jointTrialDelay
	}
	return suspected
}
