/*
 * Orders to one endpoint by the holders of a pool's lease (D3, D6). The endpoint has memory for one
 * model. A holder may pause between its check and its send; the send is then late. Orders are lost,
 * late and doubled. A takeover is one step here, because accept.pml covers that the old holder's check
 * fails once the new holder acts. One order is outstanding at a time on either kind of endpoint.
 * I1: accelerator memory is never overcommitted, even in the middle of a change.
 * With -DIGNORES the endpoint ignores fencing numbers.
 */
#define LOAD 1
#define UNLOAD 2
byte lease = 0, num = 1;
byte mine[2];
byte rowRev, seen[2];                  /* revision of the order row, and the one each host builds on */
byte recN, recKind, recModel, recInst; /* the order record; recN is 0 when none is outstanding */
byte handN[2], handKind[2], handModel[2];
bool checked[2];
byte seq;
byte res;         /* resident model, 0 for none */
byte high, last;  /* highest number confirmed, last order done */
byte inst;
bool unloaded;    /* the last order recorded as done was an unload: its memory stays reserved */
byte takeovers = 2, losses = 1, doubles = 1, orders = 4;
#ifdef RESTART
byte restarts = 1;
#else
byte restarts = 0;
#endif
#ifdef LIVE
byte turns = 2;
#endif
chan net = [3] of { byte, byte, byte };

#ifdef IGNORES
#define known (last == recN)
#define reserved (unloaded && len(net) > 0) /* 60 s outlast every copy on its way */
#else
#define known (high >= recN)
#define reserved false
#endif
#ifdef NO_BLOCK
#define dead true
#else
#define dead (recN == 0 || known || recInst != inst)
#endif
#ifdef NO_HOLD
#define blocked false
#else
#define blocked reserved
#endif

inline order(kind, model) {
	orders--; seq++;
	handN[h] = mine[h] * 8 + seq; handKind[h] = kind; handModel[h] = model;
#ifndef NO_RECORD
	recN = handN[h]; recKind = kind; recModel = model; recInst = inst; rowRev++; seen[h] = rowRev;
#endif
	unloaded = (kind == UNLOAD)
}

proctype Host(byte h) {
end:
	do
	:: atomic { takeovers > 0 && lease != h -> takeovers--; lease = h; num++; mine[h] = num;
		handN[h] = 0; checked[h] = false; rowRev++; seen[h] = rowRev }
	:: atomic { orders > 0 && lease == h && handN[h] == 0 && seen[h] == rowRev && dead && !blocked && res == 0 ->
		if
		:: order(LOAD, 1)
		:: order(LOAD, 2)
		fi }
	:: atomic { orders > 0 && lease == h && handN[h] == 0 && seen[h] == rowRev && dead && res != 0 -> order(UNLOAD, res) }
#if !defined(IGNORES) && !defined(NO_KILL)
	/* An order with a higher number ends one of unknown result. */
#ifdef LIVE
	:: atomic { lease == h && handN[h] == 0 && seen[h] == rowRev && !dead && len(net) == 0 -> orders++; order(UNLOAD, recModel) }
#else
	:: atomic { orders > 0 && lease == h && handN[h] == 0 && seen[h] == rowRev && !dead -> order(UNLOAD, recModel) }
#endif
#endif
	:: atomic { handN[h] != 0 && !checked[h] && lease == h -> checked[h] = true }
	:: atomic { handN[h] != 0 && !checked[h] && lease != h -> handN[h] = 0 }
	:: atomic { checked[h] && nfull(net) -> net ! handN[h], handKind[h], handModel[h];
		handN[h] = 0; checked[h] = false }
	od
}

inline execute(n, kind, model) {
	if
#if !defined(IGNORES) && !defined(NO_FENCE)
	:: n <= high
#endif
	:: else ->
		high = (n > high -> n : high); last = n;
		if
		:: kind == LOAD ->
			/* I1 */
			assert(res == 0 || res == model);
			res = model
		:: kind == UNLOAD && res == model -> res = 0
		:: else
		fi
	fi
}

active proctype Endpoint() {
	byte n, kind, model;
end:
	do
	:: atomic { len(net) > 0 -> net ? n, kind, model; execute(n, kind, model); n = 0; kind = 0; model = 0 }
#ifdef LIVE
	:: atomic { turns > 0 && len(net) > 1 -> turns--; net ? n, kind, model; net ! n, kind, model; n = 0; kind = 0; model = 0 } /* order of arrival */
#else
	:: atomic { len(net) > 1 -> net ? n, kind, model; net ! n, kind, model; n = 0; kind = 0; model = 0 }
#endif
	:: atomic { doubles > 0 && len(net) > 0 && nfull(net) -> doubles--; net ? <n, kind, model>; net ! n, kind, model; n = 0; kind = 0; model = 0 }
	:: atomic { losses > 0 && len(net) > 0 -> losses--; net ? n, kind, model; n = 0; kind = 0; model = 0 }
	/* A restart forgets what was resident and the highest number. */
	:: atomic { restarts > 0 -> restarts--; inst++; res = 0; high = 0; last = 0 }
	od
}

#ifdef LIVE
/* I2 as progress: once faults stop, no order of unknown result blocks the endpoint. */
ltl unblocked { <> [] dead }
#endif

init { atomic { mine[0] = 1; run Host(0); run Host(1) } }
