/*
 * A lease that is kept in one row and renewed by its holder (package lease, Term). Each process knows the row from its
 * reads. A write has the condition that the row is unchanged; it may take effect after its writer has given up on it,
 * and its result may be lost.
 *
 * Checked: acts of two processes are at least GAP apart.
 *
 * Mistakes: NOGAP takes over after GUARD alone; FROMRESULT counts the right to act from the arrival of a result;
 * BLIND writes without the condition; HASTE takes a released lease over at once; BELIEVE acts after a write whose
 * result is not known.
 */
#define N      2
#define GUARD  2
#define GAP    2
#define END    5
#ifndef WRITES
#define WRITES 3 /* begun in all */
#endif

byte now;
byte writes;

/* the row in the store */
byte holder = N;
byte revision;
bool released;

/* what each process knows */
bool known[N];
byte vholder[N];
byte vrevision[N];
bool vreleased[N];
byte changed[N];
byte looked[N];
byte acting[N]; /* end of the time in which it may act */
byte asked[N];  /* start of the last write */
bool pending[N];

/* writes on their way; one that its writer gave up on is late */
bool flying[N];
byte fcondition[N];
bool frelease[N];
byte result[N]; /* 0 none, 1 committed, 2 refused */
byte committed[N];
bool late[N];
byte lcondition[N];
bool lrelease[N];
bool lcurrent[N]; /* no other write was begun since */
byte mine[N];     /* revision to which its last write led; 0 while that is not in effect */

bool acted[N];
byte last[N]; /* time of its last act */

#ifdef NOGAP
#define WAIT(p) (vreleased[p] -> GAP : GUARD)
#else
#ifdef HASTE
#define WAIT(p) (vreleased[p] -> 0 : GUARD + GAP)
#else
#define WAIT(p) (vreleased[p] -> GAP : GUARD + GAP)
#endif
#endif

#ifdef BLIND
#define MAYWRITE(condition) true
#else
#define MAYWRITE(condition) (revision == condition)
#endif

inline take(p, condition, release, current, outcome) {
	if
	:: MAYWRITE(condition) ->
		revision++;
		holder = p;
		released = release;
		mine[p] = (current -> revision : mine[p]);
		outcome = 1
	:: else -> outcome = 2
	fi
}

inline begin(p, release) {
	writes++;
	pending[p] = true;
	flying[p] = true;
	fcondition[p] = vrevision[p];
	frelease[p] = release;
	result[p] = 0;
	mine[p] = 0;
	lcurrent[p] = false;
	asked[p] = (release -> asked[p] : now)
}

active proctype clock() {
	do
	:: now < END -> now++
	:: else -> break
	od
}

proctype member(byte p) {
	byte ignored;
	do
	/* reads the row */
	:: atomic { now < END && (!known[p] || looked[p] < now) ->
		looked[p] = now;
		if
		:: !known[p] || revision > vrevision[p] ->
			vholder[p] = holder;
			vrevision[p] = revision;
			vreleased[p] = released;
			changed[p] = now;
			known[p] = true;
			if
			:: holder != p -> acting[p] = 0
			:: holder == p && !released && mine[p] == revision ->
				if
				:: asked[p] + GUARD > acting[p] -> acting[p] = asked[p] + GUARD
				:: else
				fi
			:: else
			fi
		:: else
		fi }
	/* renews */
	:: atomic { now < END && writes < WRITES && known[p] && !pending[p] && vholder[p] == p && !vreleased[p] && now < acting[p] && asked[p] < now -> begin(p, false) }
	/* takes over */
	:: atomic { now < END && writes < WRITES && known[p] && !pending[p] && !(vholder[p] == p && !vreleased[p] && now < acting[p]) &&
		(vrevision[p] == 0 || looked[p] - changed[p] >= WAIT(p)) -> begin(p, false) }
	/* gives the lease up */
	:: atomic { now < END && writes < WRITES && !pending[p] && vholder[p] == p && now < acting[p] -> acting[p] = 0; begin(p, true) }
	/* its write takes effect */
	:: atomic { flying[p] -> take(p, fcondition[p], frelease[p], true, result[p]); committed[p] = revision; flying[p] = false; fcondition[p] = 0 }
	:: atomic { late[p] -> take(p, lcondition[p], lrelease[p], lcurrent[p], ignored); late[p] = false; lcondition[p] = 0; lrelease[p] = false; lcurrent[p] = false; ignored = 0 }
	/* the result arrives */
	:: atomic { pending[p] && result[p] == 1 && committed[p] >= vrevision[p] ->
		pending[p] = false;
		vholder[p] = p;
		vrevision[p] = committed[p];
		vreleased[p] = frelease[p];
		changed[p] = asked[p];
		result[p] = 0;
		if
		:: !frelease[p] ->
#ifdef FROMRESULT
			acting[p] = now + GUARD
#else
			acting[p] = asked[p] + GUARD
#endif
		:: else
		fi }
	:: atomic { pending[p] && (result[p] == 2 || result[p] == 1 && committed[p] < vrevision[p]) -> pending[p] = false; known[p] = false; result[p] = 0 }
	/* the result is lost, or the write is on its way still */
	:: atomic { pending[p] && (result[p] != 0 || flying[p] && !late[p]) ->
		pending[p] = false;
		known[p] = false;
		result[p] = 0;
		if
		:: flying[p] -> late[p] = true; lcurrent[p] = true; lcondition[p] = fcondition[p]; lrelease[p] = frelease[p]; flying[p] = false
		:: else
		fi;
#ifdef BELIEVE
		vholder[p] = p;
		acting[p] = asked[p] + GUARD
#endif
		}
	/* acts */
	:: atomic { vholder[p] == p && now < acting[p] && !(acted[p] && last[p] == now) ->
		assert(!acted[1 - p] || now - last[1 - p] >= GAP);
		acted[p] = true;
		last[p] = now }
	:: now == END -> break
	od
}

init {
	atomic { run member(0); run member(1) }
}
