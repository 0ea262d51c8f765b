/*
 * Acceptance of changes, freshness and members (D1, D2). Revision r of the table is a change or the
 * joining or removal of a member; a host's copy is complete up to a revision. One tick is half a
 * window. Hosts that are paused, cut off from the table service or from each other, and a service
 * that is down, are hosts that take no such step; every interleaving is searched. The reply of an
 * exchange may arrive any number of ticks late, or never. A host's clock may miss a tick once
 * (drift), for which the waiting party allows one more tick.
 * I5: a withdrawn key stops working within seconds, even for connected callers.
 * I12: an accepted configuration is in force everywhere within seconds.
 * I13: an accepted configuration never reverts.
 * Acceptance is judged by what hosts have applied, so not later than any host can judge it.
 */
#ifndef N
#define N 3    /* hosts */
#endif
#ifndef INIT
#define INIT 1 /* members at the start */
#endif
#ifndef R
#define R 3    /* revisions */
#endif
#ifndef DRIFT
#define DRIFT 1
#endif
#ifndef W
#define W 2           /* window, in ticks */
#endif
#ifndef LATES
#define LATES 1       /* late replies */
#endif
#ifdef NO_DRIFT_MARGIN
#define WAIT W
#else
#define WAIT (W + DRIFT) /* window and the clock's drift */
#endif
#define NEVER 15
#define TABLE N

byte head;
byte confHead;         /* revision of the last configuration edit */
byte joined[N], gone[N];
bool stopped[N];
byte rev[N];
byte fAge[N];          /* age of the moment that freshness dates from */
byte x[N * N];         /* age of the last exchange with each host */
byte from[N], age[N], got[N]; /* an exchange of each host whose reply is on its way */
byte base[N];          /* a configuration edit on its way to the table, with its condition */
byte acc[R + 1];       /* ticks since the revision was accepted */
byte drift = DRIFT, lates = LATES;
#ifdef LIVE
bool calm;
#define faulty !calm
#else
#define faulty true
#endif

/* Variables of single steps; they are no part of the state. */
hidden byte i, j, v, n, c, r, q, miss, settled;
hidden byte ok;

#define member(id, at) (joined[id] <= at && gone[id] > at)
#define majority(count) ((count) / 2 + 1)

/* The members as of v, and how many of them miss the revision r; ok if a majority has it. */
inline count() {
	n = 0; miss = 0; i = 0;
	do
	:: i < N -> n = n + (member(i, v) -> 1 : 0); miss = miss + (member(i, v) && rev[i] < r -> 1 : 0); i++
	:: else -> break
	od;
#ifdef ONE_APPLIED
	ok = n > miss
#else
	ok = n > 0 && n - miss >= majority(n)
#endif
}

/*
 * ok: the revision r is accepted by the members as of v. No majority of an earlier set, by which a
 * fresh host may still count, may miss it. Members that left by themselves have stopped and are not
 * counted in earlier sets; members that others removed may still run and count as missing.
 */
inline judge() {
	count();
#ifndef NO_EARLIER_SETS
	q = settled;
	do
	:: q < r && ok -> c = 0; miss = 0; i = 0;
		do
		:: i < N ->
			if
			:: member(i, q) && gone[i] > v -> c++; miss = miss + (rev[i] < r -> 1 : 0)
#if defined(ZOMBIE) && !defined(NO_REMOVED_COUNT)
			:: member(i, q) && gone[i] <= v -> c++; miss++
#endif
			:: else
			fi; i++
		:: else -> break
		od;
#ifdef ONE_APPLIED
		ok = (c == 0 || miss < c);
#else
		ok = (c == 0 || miss < majority(c));
#endif
		q++
	:: else -> break
	od
#endif
}

inline accept() {
	settled = 0; r = 1;
	do
	:: r <= R -> settled = (acc[r] != NEVER && acc[r] >= WAIT -> r : settled); r++
	:: else -> break
	od;
	r = 1;
	do
	:: r <= head ->
		if
		:: acc[r] == NEVER -> v = r;
			do
			:: v <= head ->
				/* Some host must hold the view v to judge by it. */
				if
				:: (rev[0] == v && !stopped[0]) || (rev[1] == v && !stopped[1]) || (rev[N-1] == v && !stopped[N-1]) -> judge();
					if
					:: ok -> acc[r] = 0; break
					:: else
					fi
				:: else
				fi; v++
			:: else -> break
			od
		:: else
		fi; r++
	:: else -> break
	od
}

/* I5, I12: a host that serves holds every change accepted longer than the window ago. */
inline check() {
	i = 0;
	do
	:: i < N ->
		if
		:: !stopped[i] && fAge[i] < W -> r = rev[i] + 1;
			do
			:: r <= R -> assert(acc[r] == NEVER || acc[r] < WAIT); r++
			:: else -> break
			od
		:: else
		fi; i++
	:: else -> break
	od
}

/* The age of the exchanges that make up a majority of the members in the view of host k. */
inline majorityAge(k) {
	n = 0; i = 0;
	do
	:: i < N -> n = n + (member(i, rev[k]) -> 1 : 0); i++
	:: else -> break
	od;
	q = 0;
	do
	:: q < W -> c = 0; i = 0;
		do
		:: i < N -> c = c + (member(i, rev[k]) && (i == k || x[k * N + i] <= q) -> 1 : 0); i++
		:: else -> break
		od;
		if
		:: n > 0 && c >= majority(n) -> break
		:: else -> q++
		fi
	:: else -> break
	od;
	fAge[k] = (q < fAge[k] -> q : fAge[k])
}

/* Learn: host k takes in the rows up to the revision g from s by an exchange begun d ticks ago. */
inline learn(k, s, g, d) {
#ifdef LEARN_OLDER
	rev[k] = g;
#else
	rev[k] = (g > rev[k] -> g : rev[k]);
#endif
	if
	:: s == TABLE -> fAge[k] = (d < fAge[k] -> d : fAge[k])
	:: else -> x[k * N + s] = (d < x[k * N + s] -> d : x[k * N + s])
	fi;
	majorityAge(k); accept(); check()
}

inline commit() { head++ }

proctype Host(byte k) {
	byte p = 0;
end:
	do
	/* Exchanges at once, with the table or a peer. */
	:: atomic { !stopped[k] && (rev[k] < head || fAge[k] > 0) -> learn(k, TABLE, head, 0) }
	:: atomic { !stopped[k] && k != 0 && !stopped[0] && (x[k * N] > 0 || rev[0] > rev[k]) -> learn(k, 0, rev[0], 0) }
	:: atomic { !stopped[k] && k != 1 && !stopped[1] && (x[k * N + 1] > 0 || rev[1] > rev[k]) -> learn(k, 1, rev[1], 0) }
	:: atomic { !stopped[k] && k != N-1 && !stopped[N-1] && (x[k * N + N-1] > 0 || rev[N-1] > rev[k]) -> learn(k, N-1, rev[N-1], 0) }
	/* A host counts itself, so a majority may exist without an exchange. */
	:: atomic { !stopped[k] && fAge[k] > 0 && member(k, rev[k]) -> majorityAge(k); check() }
	/* An exchange that is served now and whose reply is late. */
	:: atomic { faulty && lates > 0 && !stopped[k] && from[k] == NEVER -> lates--; age[k] = 0;
		if
		:: from[k] = TABLE; got[k] = head
		:: k != 0 && !stopped[0] -> from[k] = 0; got[k] = rev[0]
		:: k != N-1 && !stopped[N-1] -> from[k] = N-1; got[k] = rev[N-1]
		fi }
	:: atomic { !stopped[k] && from[k] != NEVER ->
#ifdef DATE_AT_END
		age[k] = 0;
#endif
		learn(k, from[k], got[k], age[k]); from[k] = NEVER; age[k] = 0; got[k] = 0 }
	/* Members. */
	:: atomic { faulty && !stopped[k] && head < R && joined[k] == NEVER -> commit(); joined[k] = head }
#if defined(REMOVE) && !defined(ZOMBIE)
	:: atomic { faulty && !stopped[k] && k > 0 -> /* dies, or drains and removes its row */
		stopped[k] = true;
		if
		:: head < R && joined[k] < NEVER && gone[k] == NEVER -> commit(); gone[k] = head
		:: true
		fi }
#endif
#if defined(REMOVE) && defined(ZOMBIE)
	/* Another host p takes k for dead and removes it, but k still runs. */
	:: atomic { faulty && k > 0 && head < R && gone[k] == NEVER ->
		if
		:: p = 0
		:: k != 1 -> p = 1
		:: k != N-1 -> p = N-1
		fi;
		v = rev[p]; r = v; count();
		if
#ifdef REMOVE_ANY
		:: member(k, rev[p]) -> commit(); gone[k] = head
#else
		:: member(k, rev[p]) && ok -> commit(); gone[k] = head
#endif
		:: else
		fi; p = 0 }
#endif
	/* A key change is conditional on its own row only. */
	:: atomic { faulty && !stopped[k] && head < R -> commit() }
	/* A configuration edit; its reply may be lost and the write may land late. */
#ifdef EDITS
	:: atomic { faulty && !stopped[k] && head < R && base[k] == NEVER && rev[k] >= confHead -> base[k] = confHead }
	:: atomic { faulty && base[k] != NEVER && head < R ->
		if
#ifndef NO_HEAD_CONDITION
		:: base[k] != confHead
#endif
		:: else -> commit();
			/* I13: no accepted edit is overwritten by one that has not seen it. */
			assert(base[k] == confHead || acc[confHead] == NEVER);
			confHead = head
		fi; base[k] = NEVER }
#endif
	od
}

#ifdef LIVE
/* After faults stop a host reads the table now and then. */
proctype Reader(byte k) {
end:
	do
#ifdef NO_READ
	:: atomic { !calm && rev[k] < head -> learn(k, TABLE, head, 0) }
#else
	:: atomic { rev[k] < head -> learn(k, TABLE, head, 0) }
#endif
	od
}

proctype Calm() { calm = true }

/* I12, I5 as progress: once faults stop, every host holds the last revision, and it is accepted. */
ltl inforce { <> [] (rev[0] == head && rev[1] == head && (head == 0 || acc[head] != NEVER)) }
#endif

active proctype Clock() {
	byte slow;
end:
	do
	:: atomic {
		slow = NEVER;
		if
		:: true
		:: faulty && drift > 0 -> drift--; slow = 0
		:: faulty && drift > 0 -> drift--; slow = N - 1
		fi;
		i = 0;
		do
		:: i < N ->
			if
			:: i == slow
			:: else -> fAge[i] = (fAge[i] < W -> fAge[i] + 1 : W);
				age[i] = (from[i] != NEVER && age[i] < W -> age[i] + 1 : age[i]);
				j = 0;
				do
				:: j < N -> x[i * N + j] = (x[i * N + j] < W -> x[i * N + j] + 1 : W); j++
				:: else -> break
				od
			fi; i++
		:: else -> break
		od;
		r = 1;
		do
		:: r <= R -> acc[r] = (acc[r] < W + DRIFT -> acc[r] + 1 : acc[r]); r++
		:: else -> break
		od;
		slow = 0; accept(); check()
	}
	od
}

init {
	atomic {
		i = 0;
		do
		:: i < N -> joined[i] = (i < INIT -> 0 : NEVER); gone[i] = NEVER; from[i] = NEVER; base[i] = NEVER; fAge[i] = W;
			j = 0;
			do
			:: j < N -> x[i * N + j] = W; j++
			:: else -> break
			od; i++
		:: else -> break
		od;
		r = 0;
		do
		:: r <= R -> acc[r] = NEVER; r++
		:: else -> break
		od;
#ifdef LIVE
		run Calm(); run Reader(0); run Reader(1);
#endif
		run Host(0); run Host(1)
#if N > 2
		; run Host(2)
#endif
	}
}
