/*
 * Models the non-idempotent requests of one shard, for one request key.
 *
 * There are three entry instances, 0 to 2. View 1 contains all of them; instance 0 is the owner and 1 the
 * runner-up. Later views have arbitrary members, owner and runner-up. Each instance learns a view at any
 * time or never, so an instance that has crashed, is paused or partitioned is one that takes no step. A
 * message is a bit that stays set once sent: it may arrive late, more than once or never. The caller
 * retransmits to any instance at any time, so that any instance that believes to be the dispatcher may start
 * at any time.
 *
 * Time is modelled only as far as the protocol relies on it: a contact is fresh (2) until a wait starts, old
 * (1) during the wait, and expired (0) when the wait ends, because ContactLease < FenceWait.
 *
 * Each macro removes one safeguard: NO_INTENT, NO_EPOCH, NO_SEAL, NO_NOTRUN, NO_ATTEMPT, NO_LEASE,
 * NO_REFUSAL_LEASE, NO_WITNESS, NO_OLD_MAJORITY, NO_CHAIN, NO_COPY, NO_REPLACE.
 */
#ifndef VIEWS
#define VIEWS 2
#endif

#define NONE 3
/* Records of the key. INTENT: the request may have run, so the answer is "unknown". */
#define EMPTY 0
#define INTENT 1
#define NOTRUN 2
/* State of the owner's exchange with its runner-up: record the intent, or its withdrawal as NOTRUN. */
#define ASKED 1
#define WITHDRAWN 2
/* States of an attempt to run the request at a target. */
#define FLYING 1
#define RAN 2

byte view = 1;          /* number of the latest view at the platform */
byte vm[VIEWS + 1];     /* members, one bit each */
byte vo[VIEWS + 1];     /* owner */
byte vr[VIEWS + 1];     /* runner-up */

byte ep[3] = 1;         /* number of the view that the instance has learned */
byte serving[3];         /* view for which the owner holds complete records */
byte complete[3];       /* view for which the runner-up holds complete records */
byte record[3];
byte asked[3];
byte attempt[3];
byte sealed[3];         /* view that the runner-up has sealed */
byte witness[3];        /* view whose seal the instance has witnessed */
byte fresh[9];

bool intentSent[VIEWS + 1];
bool intentAcked[VIEWS + 1];
bool notRunSent[VIEWS + 1];
bool notRunAcked[VIEWS + 1];

bool born;              /* the caller has sent the request */
bool bornBefore;        /* the caller had sent it when the retransmission wait began */
bool gone;              /* the caller no longer retransmits */
byte waiter = NONE;     /* the owner that waits, and the phase of its wait */
byte wait;

byte runs;
bool saidNotRun;

byte k;
byte m;
byte o;
byte r;

#define IN(e, i) ((vm[e] >> (i)) & 1)
#define MAJ(e) ((IN(e, 0) + IN(e, 1) + IN(e, 2)) / 2 + 1)
#define FRESH(i, j) ((i) == (j) || fresh[(i) * 3 + (j)] > 0)
#ifdef NO_LEASE
#define LEASE(i) true
#else
#define LEASE(i) ((IN(ep[i], 0) && FRESH(i, 0)) + (IN(ep[i], 1) && FRESH(i, 1)) + \
	(IN(ep[i], 2) && FRESH(i, 2)) >= MAJ(ep[i]))
#endif
#ifdef NO_REFUSAL_LEASE
#define MAYREFUSE(i) true
#else
#define MAYREFUSE(i) LEASE(i)
#endif
#define LEARNED(e, n) ((IN(e, 0) && ep[0] >= n) + (IN(e, 1) && ep[1] >= n) + \
	(IN(e, 2) && ep[2] >= n) >= MAJ(e))
#define UNSEALED(e, n) ((IN(e, 0) && ep[0] >= n && witness[0] != e) + \
	(IN(e, 1) && ep[1] >= n && witness[1] != e) + \
	(IN(e, 2) && ep[2] >= n && witness[2] != e) >= MAJ(e))
#ifdef NO_WITNESS
#define ALONE(i) (sealed[i] == ep[i] && vr[ep[i]] == i)
#else
#define ALONE(i) (sealed[i] == ep[i] && vr[ep[i]] == i && (IN(ep[i], 0) && witness[0] == ep[i]) + \
	(IN(ep[i], 1) && witness[1] == ep[i]) + (IN(ep[i], 2) && witness[2] == ep[i]) >= MAJ(ep[i]))
#endif
#define OWNER(i) (vo[ep[i]] == i && serving[i] == ep[i])
#define RUNNERUP(i) (vr[ep[i]] == i && complete[i] == ep[i])

inline check() { assert(runs <= 1); assert(!(saidNotRun && runs > 0)) }

inline forget(i) {
	fresh[i * 3] = 0; fresh[i * 3 + 1] = 0; fresh[i * 3 + 2] = 0; asked[i] = 0;
	if :: waiter == i -> waiter = NONE; wait = 0 :: else fi
}

inline learn(i, n) {
	if :: ep[i] < n -> ep[i] = n; forget(i) :: else fi
}

inline age(from, to) {
	k = 0;
	do
	:: k < 9 -> if :: fresh[k] == from -> fresh[k] = to :: else fi; k++
	:: else -> break
	od;
	k = 0
}

inline elect(i) {
	/*
	 * The platform replaces the view by compare-and-swap; the proposer is a member of the next view.
	 * The SECOND_ and THIRD_ macros fix the next views, to partition the state space.
	 */
#ifdef SECOND_MEMBERS
	if
	:: view == 1 -> m = SECOND_MEMBERS; o = SECOND_OWNER; r = SECOND_RUNNERUP
#if VIEWS > 2
	:: view == 2 -> m = THIRD_MEMBERS; o = THIRD_OWNER; r = THIRD_RUNNERUP
#endif
	fi;
#else
	if :: m = 1 :: m = 2 :: m = 3 :: m = 4 :: m = 5 :: m = 6 :: m = 7 fi;
	if :: o = 0 :: o = 1 :: o = 2 fi;
	if :: r = 0 :: r = 1 :: r = 2 :: r = NONE fi;
#endif
	if
	:: ((m >> i) & 1) && ((m >> o) & 1) && r != o &&
	   ((r == NONE && (m == 1 || m == 2 || m == 4)) || (r != NONE && ((m >> r) & 1))) ->
		view++;
		vm[view] = m; vo[view] = o; vr[view] = r;
		learn(i, view)
	:: else
	fi;
	m = 0; o = 0; r = 0
}

/* Steps of an owner for the request, with its runner-up or alone if the view has none. */
#define DISPATCH(i) \
	:: OWNER(i) && record[i] == EMPTY && born && !gone && vr[ep[i]] != NONE -> \
		d_step { record[i] = INTENT; asked[i] = ASKED; intentSent[ep[i]] = true } \
	:: OWNER(i) && asked[i] == ASKED && attempt[i] == 0 && ACKED(i) && LEASE(i) -> \
		attempt[i] = FLYING \
	:: OWNER(i) && record[i] == EMPTY && born && !gone && vr[ep[i]] == NONE && LEASE(i) -> \
		d_step { record[i] = INTENT; attempt[i] = FLYING } \
	:: OWNER(i) && asked[i] == ASKED && REFUSED(i) -> \
		d_step { asked[i] = WITHDRAWN; notRunSent[ep[i]] = true } \
	:: OWNER(i) && asked[i] == WITHDRAWN && NOTRUNACKED(i) && !saidNotRun && MAYREFUSE(i) -> \
		d_step { saidNotRun = true; check() } \
	:: OWNER(i) && asked[i] == 0 && record[i] == NOTRUN && !saidNotRun && MAYREFUSE(i) -> \
		d_step { saidNotRun = true; check() }

#ifdef NO_INTENT
#define ACKED(i) true
#else
#define ACKED(i) intentAcked[ep[i]]
#endif
#ifdef NO_NOTRUN
#define NOTRUNACKED(i) true
#else
#define NOTRUNACKED(i) notRunAcked[ep[i]]
#endif
#ifdef NO_ATTEMPT
#define REFUSED(i) true
#else
#define REFUSED(i) (attempt[i] == 0)
#endif

/* Steps of a runner-up for the owner of view e. */
#ifdef NO_EPOCH
#define RECORDS(i, e) (vr[e] == i && complete[i] >= e)
#else
#define RECORDS(i, e) (RUNNERUP(i) && ep[i] == e)
#endif
#ifdef NO_SEAL
#define REFUSES(i, e) false
#else
#define REFUSES(i, e) (sealed[i] == e)
#endif
#define RECORD(i, e) \
	:: RECORDS(i, e) && intentSent[e] && !intentAcked[e] && !REFUSES(i, e) && record[i] != NOTRUN -> \
		d_step { record[i] = INTENT; intentAcked[e] = true } \
	:: RECORDS(i, e) && notRunSent[e] && !notRunAcked[e] && !REFUSES(i, e) -> \
		d_step { record[i] = NOTRUN; notRunAcked[e] = true }

/* A runner-up that considers the owner failed seals the view, with a majority as witnesses. */
#define SEAL(i) \
	:: RUNNERUP(i) && sealed[i] < ep[i] -> d_step { sealed[i] = ep[i]; witness[i] = ep[i] } \
	:: RUNNERUP(i) && ALONE(i) && record[i] == EMPTY && born && !gone && LEASE(i) -> \
		d_step { record[i] = INTENT; attempt[i] = FLYING } \
	:: RUNNERUP(i) && ALONE(i) && record[i] == EMPTY && born && !gone -> record[i] = NOTRUN \
	:: RUNNERUP(i) && ALONE(i) && record[i] == NOTRUN && !saidNotRun && MAYREFUSE(i) -> \
		d_step { saidNotRun = true; check() }

#define WITNESS(i, j) \
	:: sealed[j] == ep[j] && ep[i] == ep[j] && IN(ep[i], i) && witness[i] != ep[i] -> \
		witness[i] = ep[i]

/* A contact is the answer to a probe of this instance and counts from when the probe was sent. */
#define CONTACT(i, j) \
	:: ep[j] <= ep[i] && fresh[i * 3 + j] < 2 && (vo[ep[i]] == i || vr[ep[i]] == i) && \
	   !RENEWED(i) -> fresh[i * 3 + j] = 2
#define RENEWED(i) ((i == 0 || fresh[i * 3] == 2) + (i == 1 || fresh[i * 3 + 1] == 2) + \
	(i == 2 || fresh[i * 3 + 2] == 2) >= 2)

/* The new owner i fetches the records from the runner-up j of the previous view. */
#define FETCH_RUNNERUP(i, j) \
	:: ep[i] > 1 && vo[ep[i]] == i && serving[i] < ep[i] && vr[ep[i] - 1] == j && \
	   complete[j] == ep[i] - 1 && ep[j] <= ep[i] -> \
		d_step { LEARN_ON_FETCH(i, j); record[i] = record[j]; serving[i] = ep[i]; \
			waiter = (waiter == i -> NONE : waiter) }
#define LEARN_ON_FETCH(i, j) learn(j, ep[i])

/* Or from its owner j, if a majority of that view has witnessed no seal and will witness none. */
#ifdef NO_WITNESS
#define NO_SEAL_IN(e, n) true
#else
#define NO_SEAL_IN(e, n) UNSEALED(e, n)
#endif
#define FETCH_OWNER(i, j) \
	:: ep[i] > 1 && vo[ep[i]] == i && serving[i] < ep[i] && vo[ep[i] - 1] == j && \
	   serving[j] == ep[i] - 1 && ep[j] <= ep[i] && NO_SEAL_IN(ep[i] - 1, ep[i]) -> \
		d_step { LEARN_ON_FETCH(i, j); record[i] = record[j]; serving[i] = ep[i]; \
			waiter = (waiter == i -> NONE : waiter) }

/* Or it waits until no owner or runner-up of an earlier view can dispatch, then for the retransmission span. */
#ifdef NO_OLD_MAJORITY
#define FENCED(i) true
#else
#ifdef NO_CHAIN
#define FENCED(i) LEARNED(ep[i] - 1, ep[i])
#elif VIEWS == 2
#define FENCED(i) LEARNED(1, ep[i])
#else
#define FENCED(i) (LEARNED(1, ep[i]) && (ep[i] < 3 || LEARNED(2, ep[i])))
#endif
#endif
#define WAIT(i) \
	:: ep[i] > 1 && vo[ep[i]] == i && serving[i] < ep[i] && waiter == NONE && FENCED(i) -> \
		d_step { waiter = i; wait = 1; age(2, 1) } \
	:: waiter == i && wait == 1 -> \
		d_step { wait = 2; age(1, 0); bornBefore = born } \
	:: waiter == i && wait == 2 -> \
		d_step { waiter = NONE; wait = 0; gone = gone || bornBefore; bornBefore = false; \
			record[i] = EMPTY; serving[i] = ep[i] }

/*
 * The new runner-up j acknowledges only after it has replaced its record with the one that the new owner
 * fetched: its own record of an earlier view may contradict a decision made without it.
 */
#ifdef NO_COPY
#define COPIED(i, j) skip
#elif defined(NO_REPLACE)
#define COPIED(i, j) if :: record[j] == EMPTY || record[i] == INTENT -> record[j] = record[i] :: else fi
#else
#define COPIED(i, j) record[j] = record[i]
#endif
#define COPY(i, j) \
	:: OWNER(i) && ep[j] <= ep[i] && vr[ep[i]] == j && complete[j] < ep[i] -> \
		d_step { learn(j, ep[i]); complete[j] = ep[i]; COPIED(i, j) }

#define TARGET(i) \
	:: attempt[i] == FLYING -> d_step { attempt[i] = RAN; runs++; check() } \
	:: attempt[i] == FLYING -> attempt[i] = 0

#define INSTANCE(i, j, k) \
	DISPATCH(i) RECORD(i, 1) RECORD(i, 2) RECORD_LATER(i) SEAL(i) WITNESS(i, j) WITNESS(i, k) \
	CONTACT(i, j) CONTACT(i, k) FETCH_RUNNERUP(i, i) FETCH_RUNNERUP(i, j) FETCH_RUNNERUP(i, k) \
	FETCH_OWNER(i, i) FETCH_OWNER(i, j) FETCH_OWNER(i, k) WAIT(i) COPY(i, j) COPY(i, k) TARGET(i) \
	:: ep[i] < view -> d_step { learn(i, ep[i] + 1) } \
	:: ep[i] == view && view < VIEWS -> atomic { elect(i) } \
	:: waiter == i -> d_step { waiter = NONE; wait = 0 }

#if VIEWS == 2
#define RECORD_LATER(i)
#else
#define RECORD_LATER(i) RECORD(i, 3)
#endif

init {
	d_step {
		vm[1] = 7; vo[1] = 0; vr[1] = 1;
		serving[0] = 1; complete[1] = 1
	}
	do
	:: !born -> born = true
	INSTANCE(0, 1, 2)
	INSTANCE(1, 0, 2)
	INSTANCE(2, 0, 1)
	od
}
