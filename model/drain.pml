/*
 * Planned stop of a host and, with -DLEAVING, a leaving endpoint (section 4 of the design page).
 * Stop: the host turns to draining; the balancer goes on sending requests for its lag; then the host
 * refuses new requests, finishes those it has, repays its loan, hands over its share, removes its row
 * and exits. The last request arrives less than LAG ticks after the turn. The host's clock may gain a
 * tick (drift). The table service may go down at any time, for good. A request is sent by an effect
 * that is carried out after it was decided; its attempt may fail without an answer and run later.
 * I8: a refusal that says "not run" is true.
 * I10: a leaving endpoint gets no new work after a few seconds.
 * I11: every planned stop is a graceful shutdown: it cuts off no request.
 */
#ifndef LEAVING
#ifndef REQUESTS
#define REQUESTS 2 /* 2 or 3 */
#endif
#define LAG 2
#define DRIFT 1
#if defined(NO_LAG)
#define WAIT 0
#elif defined(NO_DRIFT_MARGIN)
#define WAIT LAG
#else
#define WAIT (LAG + DRIFT)
#endif
#define SERVING 0
#define DRAINING 1
#define REFUSING 2
#define EXITED 3
/* Stages of a request. */
#define ABSENT 0
#define TRANSIT 1  /* from the balancer to the host */
#define QUEUED 2
#define DECIDED 3  /* its tokens are taken and the effect to send it is not yet carried out */
#define SENT 4
#define FAILED 5   /* the attempt ended without an answer */
#define ANSWERED 6
#define REFUSED 7  /* as not run */
#define UNKNOWN 8  /* error that says that it may have run */
byte phase = SERVING;
byte stage[REQUESTS];
bool wire[REQUESTS];           /* the request is on its way to the endpoint */
bool ran[REQUESTS];
bool retried[REQUESTS];
byte age, lag;                 /* ticks since the turn, by the host's clock and in fact */
bool owed = true, handed, gone; /* loan not repaid, share handed over, member row removed */
bool down;                     /* table service */
byte turns = 2, drift = DRIFT;

#define transit (stage[0] == TRANSIT || stage[1] == TRANSIT || stage[REQUESTS-1] == TRANSIT)
#define open(i) (stage[i] >= QUEUED && stage[i] <= FAILED)
#define idle (!open(0) && !open(1) && !open(REQUESTS-1))
#if defined(NO_FINISH)
#define finished true
#elif defined(FORGET_QUEUED)
#define finished (stage[0] != SENT && stage[1] != SENT && stage[REQUESTS-1] != SENT)
#else
#define finished idle
#endif

proctype Request(byte i) {
end:
	do
	:: atomic { stage[i] == ABSENT && (phase == SERVING || lag < LAG) -> stage[i] = TRANSIT }
	:: atomic { stage[i] == TRANSIT ->
		assert(phase != EXITED); /* I11 */
		if
		:: phase >= REFUSING -> stage[i] = REFUSED
		:: else -> stage[i] = QUEUED
		fi }
	:: atomic { stage[i] == QUEUED && phase != EXITED -> assert(!handed); stage[i] = DECIDED }
	:: atomic { stage[i] == QUEUED && phase != EXITED -> stage[i] = REFUSED } /* deadline or draining */
	:: atomic { stage[i] == DECIDED && phase != EXITED -> stage[i] = SENT; wire[i] = true }
#ifdef REFUSE_DECIDED
	:: atomic { stage[i] == DECIDED && phase == REFUSING -> stage[i] = REFUSED; wire[i] = true }
#endif
	:: atomic { stage[i] == SENT && phase != EXITED -> stage[i] = FAILED }
	:: atomic { stage[i] == FAILED && phase != EXITED && !retried[i] -> assert(!handed); retried[i] = true; stage[i] = DECIDED }
	:: atomic { stage[i] == FAILED && phase != EXITED ->
#ifdef REFUSE_FAILED
		stage[i] = (phase == REFUSING -> REFUSED : UNKNOWN); assert(stage[i] != REFUSED || !ran[i])
#else
		stage[i] = UNKNOWN
#endif
		}
	/* The endpoint. */
	:: atomic { wire[i] -> wire[i] = false; ran[i] = true; assert(stage[i] != REFUSED) } /* I8 */
	:: atomic { stage[i] == SENT && ran[i] && phase != EXITED -> stage[i] = ANSWERED }
	od
}

active proctype Host() {
end:
	do
	:: atomic { phase == SERVING -> phase = DRAINING }
	:: atomic { phase == DRAINING && age >= WAIT -> phase = REFUSING }
	:: atomic { phase == REFUSING && finished && owed -> owed = false } /* repaid, or ended by itself */
#ifdef HAND_EARLY
	:: atomic { phase >= DRAINING && phase != EXITED && !handed && !down -> handed = true }
#else
	:: atomic { phase == REFUSING && finished && !owed && !handed && !down -> handed = true }
#endif
	:: atomic { phase == REFUSING && finished && handed && !gone && !down -> gone = true }
#ifdef WAIT_TABLE
	:: atomic { phase == REFUSING && finished && !owed && gone ->
#else
	:: atomic { phase == REFUSING && finished && !owed && (gone || down) ->
#endif
		phase = EXITED; assert(idle) } /* I11 */
	od
}

active proctype Table() {
end:
	do
	:: atomic { turns > 0 -> turns--; down = !down }
	:: atomic { turns == 1 && down -> turns = 0 } /* stays down */
	od
}

active proctype Clock() {
	bit tick;
end:
	do
	/* A request is in transit for less than a tick. */
	:: atomic { phase >= DRAINING && !transit && (lag < LAG || age < WAIT) ->
		lag = (lag < LAG -> lag + 1 : LAG); age = (age < LAG + DRIFT -> age + 1 : age);
		if
		:: drift > 0 -> drift--; age = (age < LAG + DRIFT -> age + 1 : age)
		:: true
		fi }
#ifdef LIVE
	:: phase < DRAINING || transit || (lag >= LAG && age >= WAIT) -> tick = 1 - tick
#endif
	od
}

#ifdef LIVE
/* Every planned stop ends. */
ltl ends { <> (phase == EXITED) }
#endif

init { atomic { run Request(0);
#if REQUESTS > 2
	run Request(1);
#endif
	run Request(REQUESTS-1) } }

#else /* LEAVING */
/*
 * A host learns that an endpoint leaves from the host list, which lags at most LIST ticks, and from the
 * endpoint's reports, which the lease holder passes on. A source that works is asked once a tick. One
 * source may fail and recover: the list is stale or down, or the holder is dead or cut off. An answer
 * of the list may be late, unless -DIN_ORDER is set. With -DBOTH both sources may fail.
 */
#define LIST 1
#define LIMIT (LIST + 1) /* ticks, of 1 s */
bool left, published, reported;
bool leaving;            /* as the host knows */
bool stale, unlisted, cut; /* present faults: list stale, list down, holder dead or cut off */
bool listFault, holderFault;
byte faults = 2;
bool asked, told, passed; /* done in this tick */
byte late = 2;           /* a late answer: its value, or 2 when none is on its way */
byte age;                /* ticks since the endpoint began to leave */
bool picked;

#ifdef BOTH
#define single(other) true
#else
#define single(other) (!other)
#endif

bool listed, summary;    /* the last answer of each source */

inline learn(source, x) {
#if defined(LAST_WINS)
	leaving = x
#elif defined(LAST_OF_EACH)
	source = x; leaving = listed || summary
#else
	leaving = leaving || x
#endif
}

active proctype Sources() {
end:
	do
	:: atomic { !left -> left = true }
	:: atomic { left && !published && !stale -> published = true }
	:: atomic { !asked && !unlisted -> asked = true;
#ifndef REPORT_ONLY
		learn(listed, published)
#endif
		}
#if !defined(LIVE) && !defined(IN_ORDER)
	:: atomic { late == 2 && !unlisted -> late = (published -> 1 : 0) }
	:: atomic { late != 2 ->
#ifndef REPORT_ONLY
		learn(listed, late);
#endif
		late = 2 }
#endif
	:: atomic { !told && !cut -> told = true; reported = left }
	:: atomic { !passed && !cut -> passed = true;
#ifndef LIST_ONLY
		learn(summary, reported)
#endif
		}
	/* Faults. */
	:: atomic { faults > 0 && !stale && !unlisted && single(holderFault) -> faults--; listFault = true;
		if
		:: stale = true
		:: unlisted = true
		fi }
	:: atomic { faults > 0 && !cut && single(listFault) -> faults--; holderFault = true; cut = true }
	:: atomic { stale -> stale = false }
	:: atomic { unlisted -> unlisted = false }
	:: atomic { cut -> cut = false; reported = false } /* a new holder has no report yet */
	od
}

active proctype Host() {
end:
	do
#ifdef PICK_EARLY
	:: atomic { !picked && !leaving -> picked = true }
	:: atomic { picked -> picked = false; assert(age <= LIMIT) }
#else
	:: atomic { !leaving -> assert(age <= LIMIT) } /* I10: chosen at the moment of sending */
#endif
	od
}

active proctype Clock() {
end:
	do
	:: atomic { (asked || unlisted) && (told || cut) && (passed || cut) && (published || stale || !left || age < LIST) ->
		asked = false; told = false; passed = false;
		age = (left && age <= LIMIT -> age + 1 : age) }
	od
}

#ifdef LIVE
/* I10 as progress: once the endpoint leaves, the host knows it for good. */
ltl known { <> [] (leaving || !left) }
#endif
#endif
