/*
 * Model of the at-most-once protocol: a key runs at most once, and never
 * after the verdict "not run". It has one key, its arbiter and PROCS entry
 * processes, of which the first is the home. With -DSTORE the key is a
 * caller's own key and the arbiter is the store, which has no seal and loses
 * nothing.
 *
 * The network is a set of messages. A message that was sent stays in it, and
 * may be delivered any number of times, in any order, or never; this covers
 * loss, repetition, reordering and late delivery. A paused process takes no
 * step. A process that crashes forgets its attempts and takes a new
 * incarnation. A witness that crashes loses its records.
 *
 * With -DHANDOVER the witness may hand over its record to a successor once:
 * the record is frozen and sent as a message, and the successor serves it.
 *
 * Each of these variants must fail: -DNO_SEAL gives the verdict "not run"
 * without a ruling of the witness; -DNO_REFUSAL lets the witness grant the
 * home's claim after another attempt's; -DSAME_INCARNATION restarts the
 * witness with its old incarnation; -DSAME_ATTEMPT lets a restarted entry use
 * its attempt's number again; with -DHANDOVER, -DNO_FREEZE lets the witness
 * continue after it sent its record, and -DTWO_SUCCESSORS sends it to two.
 */
#ifndef PROCS
#define PROCS	 2
#endif
/* Incarnations of each process; each has one attempt. */
#ifndef LIVES
#define LIVES	 2
#endif
#define ATTEMPTS (PROCS * LIVES)

/* State of the one ticket at the arbiter, when no attempt owns it. */
#define FREE	 0
#define SEALED	 99

mtype = { idle, claiming, sealing, running, ended };

/* Messages that were sent, by attempt: 1 to ATTEMPTS; 0 is no attempt. */
bool claim_sent[ATTEMPTS + 1];
bool seal_sent[ATTEMPTS + 1];
/* Replies that were sent; other_sent holds the owner. */
bool yours_sent[ATTEMPTS + 1];
bool sealed_sent[ATTEMPTS + 1];
byte other_sent[ATTEMPTS + 1];
/* The attempt's process answers, when asked, that it never runs the key. */
bool given_up[ATTEMPTS + 1];

#ifdef TWO_SUCCESSORS
#define WITNESSES 3
#elif defined(HANDOVER)
#define WITNESSES 2
#else
#define WITNESSES 1
#endif

/* Processes that may hold the record; at the start the first has it. */
byte owner[WITNESSES];
bool serving[WITNESSES];
bool handed_over = false;
byte record;
byte runs = 0;
bool told_not_run = false;

inline tell_not_run() {
	told_not_run = true;
	assert(runs == 0)
}

inline run_upstream() {
	runs++;
	assert(runs <= 1);
	assert(!told_not_run)
}

proctype witness(byte w)
{
	byte a;
	bool taken = false;

end:	do
	:: atomic { select(a : 1 .. ATTEMPTS);
		if
		:: claim_sent[a] && serving[w] ->
			if
			:: owner[w] == FREE || owner[w] == a ->
				owner[w] = a;
				yours_sent[a] = true
			:: owner[w] == SEALED ->
				sealed_sent[a] = true
			:: else ->
#ifdef NO_REFUSAL
				if
				/* The home's attempts. */
				:: a % PROCS == 1 -> yours_sent[a] = true
				:: else -> other_sent[a] = owner[w]
				fi
#else
				other_sent[a] = owner[w]
#endif
			fi
		:: seal_sent[a] && serving[w] ->
#ifdef STORE
			if
			:: owner[w] == FREE || owner[w] == a ->
				owner[w] = a;
				yours_sent[a] = true
			:: else ->
				other_sent[a] = owner[w]
			fi
#else
			if
			:: owner[w] == FREE || owner[w] == a || owner[w] == SEALED ->
				owner[w] = SEALED;
				sealed_sent[a] = true
			:: else ->
				other_sent[a] = owner[w]
			fi
#endif
		:: else -> skip
		fi }
#ifndef STORE
	/* Restart or expiry: the records and the incarnation are gone. */
	:: atomic { serving[w] ->
#ifdef SAME_INCARNATION
		owner[w] = FREE
#else
		serving[w] = false
#endif
	   }
#endif
#ifdef HANDOVER
	:: atomic { w == 0 && serving[w] && !handed_over ->
		record = owner[w];
#ifndef NO_FREEZE
		serving[w] = false;
#endif
		handed_over = true }
	/* A repeated record is not taken again. */
	:: atomic { w > 0 && handed_over && !taken ->
		taken = true;
		owner[w] = record;
		serving[w] = true }
#endif
	od
}

proctype entry(byte first)
{
	byte mine = first;
	mtype state = idle;
	/* Requested a seal that may be unanswered: only seals from then on. */
	bool bound = false;

end:	do
	/* A request arrives. */
	:: atomic { state == idle && !bound ->
		claim_sent[mine] = true;
		state = claiming }
	:: atomic { state == idle && bound ->
		seal_sent[mine] = true;
		state = sealing }
	/* The claim stays unanswered. */
	:: atomic { state == claiming ->
#ifdef NO_SEAL
		tell_not_run();
		state = ended
#else
		seal_sent[mine] = true;
		given_up[mine] = true;
		bound = true;
		state = sealing
#endif
	   }
	:: atomic { state == claiming && yours_sent[mine] ->
		state = running }
	/* Proof: nobody owns it, or this attempt does and will not run. */
	:: atomic { state == sealing && (sealed_sent[mine] ||
			yours_sent[mine]) ->
		tell_not_run();
		state = ended }
	:: atomic { state == claiming && sealed_sent[mine] ->
		tell_not_run();
		state = ended }
	/* Owned by another attempt: the verdict is "unknown". */
	:: atomic { (state == claiming || state == sealing) &&
			other_sent[mine] ->
		state = ended }
	/* The owner was asked and answered that it never runs the key. */
	:: atomic { (state == claiming || state == sealing) &&
			other_sent[mine] && given_up[other_sent[mine]] ->
		tell_not_run();
		state = ended }
	/* No answer in time: the verdict is "unknown". */
	:: atomic { state == sealing -> state = idle }
	:: atomic { state == running ->
		run_upstream();
		state = ended }
	/* The upstream refuses the request and proves that it did not run. */
	:: atomic { state == running ->
		tell_not_run();
		seal_sent[mine] = true;
		given_up[mine] = true;
		state = ended }
	/* Crash: the new incarnation has no records and new attempts. */
	:: atomic { mine + PROCS <= ATTEMPTS ->
#ifndef SAME_ATTEMPT
		mine = mine + PROCS;
#endif
		bound = false;
		state = idle }
	od
}

init
{
	atomic {
		byte p;

		serving[0] = true;
		for (p : 1 .. WITNESSES) {
			run witness(p - 1)
		}
		for (p : 1 .. PROCS) {
			run entry(p)
		}
	}
}
