/*
 * At-most-once calls (D5). Three attempts of one caller carry the same idempotency key, at once
 * or one after another, on any hosts. Each attempt is a process; a pause is any interleaving.
 * Faults: a write is applied late or never, its reply is lost, the service is down, a host dies,
 * the send or the endpoint's answer is lost.
 * I8: a refusal that says "not run" is true.
 * I9: a stamp, booking or royalty payment is at-most-once.
 */
#ifndef N
#define N 3 /* attempts */
#endif
#define NOBODY 9

mtype = { Absent, Intent, Done, Unknown, Void };
mtype = { No, Yes, Unk, Open, Dead }; /* answers: not run, run, unknown, none yet, host died */
mtype = { None, Flying, Won, Lost };  /* a conditional write */

mtype row = Absent;
byte owner = NOBODY;  /* attempt that wrote the intent */
mtype create[N] = None;
mtype fence[N] = None; /* write of void */
mtype outcome[N] = None;
mtype answer[N] = Open;
bool ranBy[N];
byte runs;
bool up = true;
bool calm;
byte outages = 1, crashes = 1, drops = 1;

inline give(x) {
	answer[a] = x;
	/* I8: neither this attempt nor, when the row is void, any other has run. */
	assert(x != No || !ranBy[a]);
}

inline drop(a) {
	if
	:: create[a] == Flying -> create[a] = None
	:: fence[a] == Flying -> fence[a] = None
	:: outcome[a] == Flying -> outcome[a] = None
	fi
}

inline land(a) {
	if
	:: create[a] == Flying -> /* conditional on the row being absent */
#ifdef NO_CONDITION
		row = Intent; owner = a; create[a] = Won
#else
		if
		:: row == Absent -> row = Intent; owner = a; create[a] = Won;
			/* I8: the row never shows an intent of an attempt that was refused as not run, which
			   later attempts would report as unknown. */
			assert(answer[a] != No)
		:: else -> create[a] = Lost
		fi
#endif
	:: fence[a] == Flying ->
		if
		:: row == Absent -> row = Void; fence[a] = Won;
		:: else -> fence[a] = Lost
		fi
	:: outcome[a] == Flying ->
		if
		:: row == Intent && owner == a -> row = Done; outcome[a] = Won
		:: else -> outcome[a] = Lost
		fi
	fi
}

#define flying(i) (create[i] == Flying || fence[i] == Flying || outcome[i] == Flying)

/* The table service applies the writes in flight, each at any time. */
proctype Service(byte i) {
end:
	do
	:: atomic { up && flying(i) -> land(i) }
	od
}

active proctype Faults() {
	do
	:: atomic { up && outages > 0 -> outages--; up = false }
	:: atomic { !up -> up = true }
	:: atomic { drops > 0 && flying(0) -> drops--; drop(0) }
	:: atomic { drops > 0 && flying(1) -> drops--; drop(1) }
	:: atomic { up -> calm = true; break }
	od
}

#define giveUp (!calm || !up) /* a reply may stay out only while faults last */

proctype Attempt(byte a) {
	/* The host refuses as not run while the service is down. */
	atomic {
		if
		:: !up -> give(No); goto end
		:: up -> create[a] = Flying
		fi
	}
	atomic {
		if
		:: create[a] == Won -> goto send
		:: create[a] == Lost || create[a] == None -> goto settle
		:: create[a] == Flying && giveUp -> goto settle /* reply late or lost */
		fi
	}
settle:
	atomic {
		if
		:: !up -> give(Unk); goto end
		:: up && row == Intent && owner == a -> goto send
#ifdef HOST_ID
		/* The intent carries the host's id only, and all attempts reach one host. */
		:: up && row == Intent && owner != a && create[a] != Lost -> goto send
#endif
#ifdef RESEND
		:: up && row == Intent && owner != a && answer[owner] == Dead -> goto send
#endif
		:: up && row == Intent && owner != a -> /* waits, then reports unknown */
			if
			:: skip -> give(Unk); goto end
			:: !calm -> goto settle
			fi
		:: up && row == Done -> give(Yes); goto end
		:: up && row == Unknown -> give(Unk); goto end
		:: up && row == Void -> give(No); goto end
		:: up && row == Absent ->
#ifdef NO_VOID
			give(No); goto end
#else
			fence[a] = Flying
#endif
		fi
	}
	atomic {
		if
		:: fence[a] == Won || fence[a] == Lost || fence[a] == None -> goto settle
#ifndef NO_REREAD
		:: fence[a] == Flying && giveUp -> goto settle
#else
		:: fence[a] == Flying && giveUp -> false /* waits for the reply for ever */
#endif
		fi
	}
send:
	atomic {
		if
		:: !calm && crashes > 0 -> crashes--; answer[a] = Dead; goto end
		:: !calm -> give(Unk); goto end /* not fresh after a pause: the intent stays */
		:: skip
		fi
	}
	atomic {
		if
		:: ranBy[a] = true; runs++;
			/* I9 */
			assert(runs <= 1);
			/* I8: no run after a refusal that the void row vouches for */
			assert(row != Void);
			if
			:: skip
			:: !calm -> goto cut
			fi
		:: !calm -> goto cut
		fi
	}
	atomic { give(Yes); outcome[a] = Flying }
	do
	:: atomic { outcome[a] == Won || outcome[a] == Lost -> break }
	:: atomic { outcome[a] == None -> outcome[a] = Flying }
	:: atomic { !calm && crashes > 0 -> crashes--; break }
	od;
	goto end;
cut:
	atomic {
#ifdef CUT_IS_NO
		give(No);
#else
		give(Unk);
#endif
		if
		:: up && row == Intent && owner == a -> row = Unknown
		:: skip
		fi
	}
end:
	skip
}

init { atomic { byte i; for (i : 0 .. N-1) { run Service(i); run Attempt(i) } } }

#ifdef BY_KEY
/* I8 read for the key instead of the attempt: "not run" is never said of a key that has run. */
active proctype Monitor() {
end:
	atomic { runs > 0 && (answer[0] == No || answer[1] == No); assert(false) }
}
#endif

#ifdef LIVE
/* After faults stop every attempt is answered, unless its host died. */
ltl answered { <> (answer[0] != Open && answer[1] != Open) }
#endif
