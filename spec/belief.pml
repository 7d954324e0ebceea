/*
 * Models what an instance believes of the operator's configuration: the store's revision up to which it has all
 * changes, the version that it has, and the newest one that it knows to exist. Configurations are too large for
 * messages, so that a revision may pass one that the instance lacks.
 *
 * Configurations change three times, or twice and the store is restored in between from a copy without the last one:
 * numbers of revisions are then given out again in a new era. Updates of other instances are late, repeated or lost,
 * answers of the store are served at one time and arrive at another, or never, and instances start again without what
 * they knew.
 *
 * Each macro removes one safeguard: NO_MISSING, NO_NAMING, NO_CONFIRM_CHECK, NO_ERA, NO_WANTED, NO_STORE_CHECK.
 */
#define CHANGES 4
#define NUMBERS (CHANGES + 1)
#define REVISION(e, n) ((e) * NUMBERS + (n))
#define NUMBER(r) ((r) % NUMBERS)
#define ERA(r) ((r) / NUMBERS)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifndef INSTANCES
#define INSTANCES 2
#endif

/* The store. Versions from floor + 1 to roof are lost by the restore. */
byte era, number, version, top, changes;
byte floor, roof;
byte at[2 * NUMBERS];          /* version of each revision */
byte stored[CHANGES + 1];      /* version after each change */
byte reached[CHANGES + 1];     /* revision after each change */
byte written[CHANGES + 1];     /* change that wrote each version */

/* The instances. */
byte revision[INSTANCES];      /* 0 before the first listing */
byte held[INSTANCES];          /* version in force */
byte newest[INSTANCES];        /* newest version that is known to exist, 0 if none is expected */
byte confirmed[INSTANCES];     /* number of changes of which the state was known to be the newest */
bool gone[INSTANCES];          /* the store answered with an older version than the newest */

/* One update on its way to all instances. */
byte sentRevision, sentNewest, sentConfirmed;
byte known;

/* The newest version that the changes up to a version left and that no restore has lost. */
#define LEFT(v) ((v) > floor && (v) <= roof -> floor : (v))

#ifdef NO_ERA
#define NEWER(a, b) (NUMBER(a) > NUMBER(b))
#define SAMEERA(a, b) true
#else
#define NEWER(a, b) ((a) > (b))
#define SAMEERA(a, b) (ERA(a) == ERA(b))
#endif

#ifdef NO_CONFIRM_CHECK
#define COMPLETE(i) true
#else
#define COMPLETE(i) (held[i] >= newest[i])
#endif

inline confirm(i, asOf) {
	if
	:: COMPLETE(i) -> confirmed[i] = MAX(confirmed[i], asOf)
	:: else -> skip
	fi
}

inline expect(i, v) {
	if
	:: v > newest[i] -> newest[i] = v; gone[i] = false
	:: else -> skip
	fi
}

inline check() {
	byte k;
	k = 0;
	do
	:: k < INSTANCES ->
		assert(MAX(held[k], newest[k]) >= LEFT(at[revision[k]]));
		assert(held[k] >= LEFT(stored[confirmed[k]]));
		k++
	:: else -> break
	od;
	k = 0
}

/* Changes of the store: a configuration, and a restore that loses the last one. */
inline change() {
	changes++; number++; top++; version = top; written[top] = changes;
	at[REVISION(era, number)] = version;
	stored[changes] = version; reached[changes] = REVISION(era, number)
}

inline restore() {
	byte j;
	number--; version = at[REVISION(0, number)]; era = 1;
	roof = top; floor = version;
	j = 0;
	do
	:: j <= number -> at[REVISION(1, j)] = at[REVISION(0, j)]; j++
	:: else -> break
	od;
	j = 0;
	changes++; stored[changes] = version; reached[changes] = REVISION(era, number)
}

#define STORE \
	:: changes < CHANGES -> d_step { change(); check() } \
	:: changes < CHANGES && era == 0 && number > 1 -> d_step { restore(); check() }

/* An answer may have been served after any change so far. A listing tells the configuration, a watch only one that is
 * newer than the revision after which it began. */
#define TOLD(i, t) (revision[i] == 0 || !SAMEERA(revision[i], reached[t]) || \
	at[REVISION(ERA(reached[t]), NUMBER(revision[i]))] < stored[t])

#define READ(i, t) \
	:: t <= changes -> d_step { \
		if \
		:: TOLD(i, t) -> held[i] = MAX(held[i], stored[t]) \
		:: else -> skip \
		fi; \
		if \
		:: reached[t] > revision[i] -> revision[i] = reached[t] \
		:: else -> skip \
		fi; \
		confirm(i, t); check() }

/* A read of a configuration that the instance lacks. Its answer says something about the newest version only if it began
 * when that was known. */
#ifdef NO_WANTED
#define ASKED(i, t) true
#else
#define ASKED(i, t) (t >= written[newest[i]])
#endif

#define READCONFIG(i, t) \
	:: newest[i] > held[i] && t <= changes -> d_step { \
		held[i] = MAX(held[i], stored[t]); \
		gone[i] = (newest[i] > held[i] && ASKED(i, t)); check() }

/* A configuration that neither the store nor another instance has is given up. */
#ifdef NO_STORE_CHECK
#define GONE(i) true
#else
#define GONE(i) gone[i]
#endif

#define FORGET(i) \
	:: newest[i] > held[i] && GONE(i) -> d_step { newest[i] = 0; gone[i] = false; check() }

#ifdef NO_NAMING
#define NAMED(j) held[j]
#else
#define NAMED(j) MAX(held[j], newest[j])
#endif

#define SEND(i) \
	:: revision[i] > 0 -> d_step { \
		sentRevision = revision[i]; sentNewest = NAMED(i); sentConfirmed = confirmed[i] }

#ifdef NO_MISSING
#define HEAR(i, v) skip
#define UPTODATE(i, v) (held[i] >= (v))
#else
#define HEAR(i, v) expect(i, v)
#define UPTODATE(i, v) true
#endif

/* An update tells changes within an era, but no configuration. It stays on its way, and may come again. */
#define RECEIVE(i) \
	:: sentRevision > 0 && revision[i] > 0 -> d_step { \
		if \
		:: NEWER(sentRevision, revision[i]) && SAMEERA(sentRevision, revision[i]) -> revision[i] = sentRevision \
		:: else -> skip \
		fi; \
		HEAR(i, sentNewest); \
		if \
		:: !NEWER(sentRevision, revision[i]) && UPTODATE(i, sentNewest) -> confirm(i, sentConfirmed) \
		:: else -> skip \
		fi; \
		check() }

#define FETCH(i, j) \
	:: revision[j] > 0 -> d_step { \
		known = NAMED(j); HEAR(i, known); known = 0; \
		held[i] = MAX(held[i], held[j]); \
		if \
		:: !NEWER(revision[i], revision[j]) -> revision[i] = revision[j]; confirm(i, confirmed[j]) \
		:: else -> skip \
		fi; \
		check() }

#define RESTART(i) \
	:: revision[i] > 0 -> d_step { \
		revision[i] = 0; held[i] = 0; newest[i] = 0; confirmed[i] = 0; gone[i] = false }

#define ANSWERS(i, t) READ(i, t) READCONFIG(i, t)
#define INSTANCE(i) ANSWERS(i, 1) ANSWERS(i, 2) ANSWERS(i, 3) ANSWERS(i, 4) FORGET(i) SEND(i) RECEIVE(i) RESTART(i)

init {
	d_step { number = 1; version = 1; top = 1; at[REVISION(0, 1)] = 1; changes = 1; stored[1] = 1; written[1] = 1; reached[1] = REVISION(0, 1) };
	do
	STORE
	INSTANCE(0) INSTANCE(1)
	FETCH(0, 1) FETCH(1, 0)
#if INSTANCES > 2
	INSTANCE(2)
	FETCH(0, 2) FETCH(2, 0) FETCH(1, 2) FETCH(2, 1)
#endif
	od
}
