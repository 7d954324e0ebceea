/*
 * Models the bundle head, and likewise the view of a domain, stored at the platform. Two operators (or
 * proposers) replace it by compare-and-swap and three instances adopt new versions of it.
 *
 * Once sent, a swap stays in flight: it may take effect late, more than once or never, and its answer
 * may be lost. The head carries the roll IDs of all versions so far.
 *
 * Each macro removes one safeguard: NO_CAS, NO_READBACK, NO_HISTORY, NO_RETRY_CHECK, FOLLOW_ANY.
 */
#define VERSIONS 3
#define NOBODY 0
#define WAITING 1
#define WON 2
#define LOST 3

byte head;                     /* version in force */
byte rolled[VERSIONS + 1];     /* roll ID of each version: operator 1 or 2 */
byte saw[3];                   /* version that the operator read before its roll */
byte state[3];
bool answered[3];              /* the answer has arrived or is known to be lost */
byte holds[3];                 /* version that the instance holds */
byte winners[VERSIONS + 1];

#ifdef NO_CAS
#define MAYSWAP(o) true
#else
#define MAYSWAP(o) (head == saw[o])
#endif
#ifdef FOLLOW_ANY
#define NEWER(a, b) ((a) != (b))
#else
#define NEWER(a, b) ((a) > (b))
#endif

inline won(o) {
	state[o] = WON;
	winners[saw[o] + 1]++;
	assert(winners[saw[o] + 1] == 1);
	assert(rolled[saw[o] + 1] == o)
}

inline lost(o) {
	state[o] = LOST;
	assert(head > saw[o] && rolled[saw[o] + 1] != o)
}

/* Determines an operator's result from the head once the version that it tried to write is decided. */
inline settle(o) {
	if
#ifdef NO_HISTORY
	:: rolled[head] == o -> won(o)
	:: else -> lost(o)
#else
	:: rolled[saw[o] + 1] == o -> won(o)
	:: else -> lost(o)
#endif
	fi
}

#ifdef NO_READBACK
#define ONLOSS(o) lost(o)
#else
#define ONLOSS(o) skip
#endif
#ifdef NO_RETRY_CHECK
#define ONREFUSAL(o) lost(o)
#else
#define ONREFUSAL(o) settle(o)
#endif

#define OPERATOR(o) \
	:: state[o] != WAITING && head < VERSIONS -> \
		d_step { saw[o] = head; state[o] = WAITING; answered[o] = false } \
	:: state[o] == WAITING && MAYSWAP(o) && saw[o] < VERSIONS -> \
		d_step { head = saw[o] + 1; rolled[head] = o } \
	:: state[o] == WAITING && MAYSWAP(o) && saw[o] < VERSIONS -> \
		d_step { head = saw[o] + 1; rolled[head] = o; won(o) } \
	:: state[o] == WAITING && !MAYSWAP(o) -> d_step { ONREFUSAL(o) } \
	:: state[o] == WAITING && !answered[o] -> d_step { answered[o] = true; ONLOSS(o) } \
	:: state[o] == WAITING && answered[o] && head > saw[o] -> d_step { settle(o) }

#define FOLLOW(i, version) \
	:: NEWER(version, holds[i]) -> d_step { assert(version > holds[i]); holds[i] = version }

init {
	do
	OPERATOR(1)
	OPERATOR(2)
	FOLLOW(0, head) FOLLOW(1, head) FOLLOW(2, head)
	FOLLOW(0, holds[1]) FOLLOW(1, holds[2]) FOLLOW(2, holds[0])
	od
}
