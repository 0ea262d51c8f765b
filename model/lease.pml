/*
 * Orders to one endpoint by the holders of a pool's lease (D3, D6). The endpoint has memory for one
 * model and may restart, which forgets what was resident, the results and the highest number. A holder
 * may pause between its check and its send; the send is then late. Orders are lost, late and doubled.
 * A holder knows the endpoint by its last report only. A takeover is one step here, because accept.pml
 * covers that the old holder's check fails once the new holder acts. One order is outstanding at a time
 * on either kind of endpoint.
 * I1: accelerator memory is never overcommitted, even in the middle of a change.
 * I2: every model stays reachable, as far as no order of unknown result blocks the endpoint.
 * Rule on endpoints that check numbers: an order is dead once the instance that answers has confirmed
 * a number at least as high; a holder plans only after that instance has confirmed its own number, by
 * the report that shows the confirmation. Rule with -DIGNORES (numbers are ignored): an order stays
 * reserved until its result is reported and no copy is on its way, and a restart kills only orders
 * of the holder itself whose request had ended before the last report of the old instance.
 * With -DBOUND an order reaches only the instance whose report its sender decided by; with
 * -DBOUND_HOLDER this is so for the present holder, and the order of a predecessor may reach any.
 * With -DCUT a restart ends all requests on their way, and only a paused sender reaches the new instance.
 */
#define LOAD 1
#define UNLOAD 2
#define ROLE 3  /* only announces the number */
#define NONE 15
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 2
#endif
#ifndef ORDERS
#define ORDERS 4
#endif
#ifndef ROLES
#define ROLES 4
#endif
#define first(h) (mine[h] * 16 + 1) /* lowest number of the holder */
byte lease = 0, num = 1;
byte mine[2];
byte rowRev, seen[2];          /* revision of the order row, and the one each host builds on */
byte recN, recInst;            /* the order record; recN is 0 when none is outstanding */
byte handN[2], handKind[2], handModel[2], handInst[2];
bool checked[2];
byte viewInst = NONE, viewRes; /* last report to the holder */
bool confirmed;                /* the instance of the last report has confirmed the holder's number */
bool ended;                    /* the request of the order had ended at the last report */
byte seq;
byte res;                      /* resident model, 0 for none */
byte high, last;               /* highest number confirmed, last order done */
byte inst;
byte takeovers = TAKEOVERS, losses = 1, doubles = 1, turns = 2, orders = ORDERS, roles = ROLES, restarts = RESTARTS;
chan net = [3] of { byte, byte, byte, byte };

#ifdef NO_BLOCK
#define free true
#else
#define free (recN == 0)
#endif
#if defined(IGNORES) || defined(NO_CONFIRM) || defined(OLD_RULE)
#define ready true
#else
#define ready confirmed
#endif
#if defined(NO_HOLD) || defined(LATE_COPY)
#define copies false
#else
#define copies (len(net) > 0) /* 60 s outlast every copy on its way */
#endif
#ifdef NO_KILL
#define unsure (recN == 0 && !confirmed)
#else
#define unsure (recN != 0 || !confirmed)
#endif
#define holder(h) (lease == h && handN[h] == 0 && seen[h] == rowRev && viewInst != NONE)
#ifdef IGNORES
#define news (viewInst != inst || viewRes != res || (recN != 0 && last == recN && !copies) || (!ended && own && handN[h] == 0 && !copies))
#else
#define news (viewInst != inst || viewRes != res || (recN != 0 && high >= recN) || (!confirmed && high >= first(h)))
#endif
#ifdef ENDED_AT_TAKEOVER
#define own (recN != 0)
#else
#define own (recN >= first(h))
#endif

inline order(kind, model) {
	seq++;
	handN[h] = mine[h] * 16 + seq; handKind[h] = kind; handModel[h] = model;
#if defined(BOUND) || defined(BOUND_HOLDER)
	handInst[h] = viewInst;
#endif
#ifndef NO_RECORD
	recN = handN[h]; recInst = viewInst; ended = false; rowRev++; seen[h] = rowRev
#endif
}

inline report() {
#ifdef OLD_RULE
	/* A restart kills every order. */
	recN = (recInst != inst -> 0 : recN);
#endif
#ifdef IGNORES
	recN = (viewInst != NONE && viewInst != inst && ended -> 0 : recN);
	recN = (last == recN && !copies -> 0 : recN);
	ended = (own && handN[h] == 0 && !copies);
#else
	recN = (high >= recN -> 0 : recN);
	confirmed = (high >= first(h));
#endif
	viewInst = inst; viewRes = res
}

proctype Host(byte h) {
end:
	do
	:: atomic { takeovers > 0 && lease != h -> takeovers--; lease = h; num++; mine[h] = num;
		handN[h] = 0; checked[h] = false; rowRev++; seen[h] = rowRev;
		viewInst = NONE; viewRes = 0; confirmed = false; ended = false }
	:: atomic { lease == h && seen[h] == rowRev && news -> report() }
	:: atomic { orders > 0 && holder(h) && free && ready && viewRes == 0 -> orders--;
		if
		:: order(LOAD, 1)
		:: order(LOAD, 2)
		fi }
	:: atomic { orders > 0 && holder(h) && free && ready && viewRes != 0 -> orders--; order(UNLOAD, viewRes) }
#ifndef IGNORES
	/* An order with a higher number announces the holder and ends orders of unknown result. */
#ifdef LIVE
	:: atomic { holder(h) && unsure && len(net) == 0 && !news -> order(ROLE, 0) }
#else
	:: atomic { roles > 0 && holder(h) && unsure -> roles--; order(ROLE, 0) }
#endif
#endif
	:: atomic { handN[h] != 0 && !checked[h] && lease == h -> checked[h] = true }
	:: atomic { handN[h] != 0 && !checked[h] && lease != h -> handN[h] = 0; handKind[h] = 0; handModel[h] = 0; handInst[h] = 0 }
	:: atomic { checked[h] && nfull(net) -> net ! handN[h], handKind[h], handModel[h], handInst[h];
		handN[h] = 0; handKind[h] = 0; handModel[h] = 0; handInst[h] = 0; checked[h] = false }
	od
}

inline execute(n, kind, model, target) {
	if
#if !defined(IGNORES) && !defined(NO_FENCE)
	:: n <= high
#endif
#ifdef BOUND
	:: target != inst
#endif
#ifdef BOUND_HOLDER
	:: n > num * 16 && target != inst
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
	byte n, kind, model, target;
end:
	do
	:: atomic { len(net) > 0 -> net ? n, kind, model, target; execute(n, kind, model, target); n = 0; kind = 0; model = 0; target = 0 }
	/* Order of arrival, copies, losses. */
#ifdef LIVE
	:: atomic { turns > 0 && len(net) > 1 -> turns--; net ? n, kind, model, target; net ! n, kind, model, target; n = 0; kind = 0; model = 0; target = 0 }
#else
	:: atomic { len(net) > 1 -> net ? n, kind, model, target; net ! n, kind, model, target; n = 0; kind = 0; model = 0; target = 0 }
#endif
	:: atomic { doubles > 0 && len(net) > 0 && nfull(net) -> doubles--; net ? <n, kind, model, target>; net ! n, kind, model, target; n = 0; kind = 0; model = 0; target = 0 }
	:: atomic { losses > 0 && len(net) > 0 -> losses--; net ? n, kind, model, target; n = 0; kind = 0; model = 0; target = 0 }
	:: atomic { restarts > 0 -> restarts--; inst++; res = 0; high = 0; last = 0;
#ifdef CUT
		do
		:: len(net) > 0 -> net ? n, kind, model, target
		:: else -> break
		od; n = 0; kind = 0; model = 0; target = 0
#endif
		}
	od
}

#ifdef LIVE
active proctype Clock() {
	bit tick;
end:
	do
	:: tick = 1 - tick
	od
}

/* I2 as progress: once faults stop, no order of unknown result blocks the endpoint. */
ltl unblocked { <> [] (recN == 0) }
#endif

init { atomic { mine[0] = 1; run Host(0); run Host(1) } }
