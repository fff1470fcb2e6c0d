/*
 * A way that is weighed in docs/design/ticket.md and not built: two witnesses
 * for one ticket. An attempt runs only when both granted its claim; a seal at
 * either proves "not run". One key, PROCS entry processes, the network of
 * ticket.pml; a crash of a witness loses its register for good.
 *
 * -DREACH: a check that must fail, for it denies that "not run" can be told
 * of a ticket whose first witness died before anybody claimed it. Variants
 * that must fail: -DONE_GRANT runs with one grant; -DLOST_IS_SEALED takes a
 * witness that died for one that sealed; -DNO_GIVE_UP lets an attempt that
 * gave up run when its grants come late.
 */
#ifndef PROCS
#define PROCS	 2
#endif
#ifndef LIVES
#define LIVES	 1
#endif
#define ATTEMPTS (PROCS * LIVES)
#define WITNESSES 2

#define FREE	 0
#define SEALED	 99

/* Index of what witness w told attempt a. */
#define AT(w, a) ((w) * (ATTEMPTS + 1) + (a))

mtype = { idle, claiming, sealing, running, ended };

bool claim_sent[ATTEMPTS + 1];
bool seal_sent[ATTEMPTS + 1];
bool yours_sent[WITNESSES * (ATTEMPTS + 1)];
bool sealed_sent[WITNESSES * (ATTEMPTS + 1)];
byte other_sent[WITNESSES * (ATTEMPTS + 1)];
/* What the attempt's process answers when it is asked: it never runs. */
bool given_up[ATTEMPTS + 1];

byte owner[WITNESSES];
bool serving[WITNESSES];
byte runs = 0;
bool told_not_run = false;

inline tell_not_run() {
	told_not_run = true;
	assert(runs == 0);
#ifdef REACH
	assert(serving[0] || owner[0] != FREE)
#endif
}

inline run_upstream() {
	runs++;
	assert(runs <= 1);
	assert(!told_not_run)
}

proctype witness(byte w)
{
	byte a;

end:	do
	:: atomic { select(a : 1 .. ATTEMPTS);
		if
		:: claim_sent[a] && serving[w] ->
			if
			:: owner[w] == FREE || owner[w] == a ->
				owner[w] = a;
				yours_sent[AT(w, a)] = true
			:: owner[w] == SEALED ->
				sealed_sent[AT(w, a)] = true
			:: else ->
				other_sent[AT(w, a)] = owner[w]
			fi
		:: seal_sent[a] && serving[w] ->
			if
			:: owner[w] == FREE || owner[w] == a || owner[w] == SEALED ->
				owner[w] = SEALED;
				sealed_sent[AT(w, a)] = true
			:: else ->
				other_sent[AT(w, a)] = owner[w]
			fi
		:: else -> skip
		fi }
	/* Its register is lost; the next incarnation grants nothing of it. */
	:: atomic { serving[w] -> serving[w] = false }
	od
}

#define SEALED_AT(w) sealed_sent[AT(w, mine)]
#define OTHER_AT(w)  other_sent[AT(w, mine)]
#define YOURS_AT(w)  yours_sent[AT(w, mine)]
#define GIVEN_UP_AT(w) (OTHER_AT(w) && given_up[OTHER_AT(w)])

proctype entry(byte first)
{
	byte mine = first;
	mtype state = idle;
	/* This attempt gave up: only seals from then on. */
	bool bound = false;

end:	do
	:: atomic { state == idle && !bound ->
		claim_sent[mine] = true;
		state = claiming }
	:: atomic { state == idle && bound ->
		seal_sent[mine] = true;
		state = sealing }
	/* A grant is late, or one of the two is another's. */
	:: atomic { state == claiming ->
		seal_sent[mine] = true;
		given_up[mine] = true;
		bound = true;
		state = sealing }
#ifdef ONE_GRANT
	:: atomic { state == claiming && (YOURS_AT(0) || YOURS_AT(1)) ->
#else
	:: atomic { state == claiming && YOURS_AT(0) && YOURS_AT(1) ->
#endif
		state = running }
#ifdef NO_GIVE_UP
	:: atomic { state == sealing && YOURS_AT(0) && YOURS_AT(1) ->
		state = running }
#endif
	/* Proof by either witness. */
	:: atomic { (state == claiming || state == sealing) &&
			(SEALED_AT(0) || SEALED_AT(1)) ->
		given_up[mine] = true;
		bound = true;
		tell_not_run();
		state = ended }
	/* This attempt owns one, and will not run. */
	:: atomic { state == sealing && (YOURS_AT(0) || YOURS_AT(1)) ->
		tell_not_run();
		state = ended }
	/* The owner of either was asked: its attempt never runs. */
	:: atomic { (state == claiming || state == sealing) &&
			(GIVEN_UP_AT(0) || GIVEN_UP_AT(1)) ->
		given_up[mine] = true;
		bound = true;
		tell_not_run();
		state = ended }
#ifdef LOST_IS_SEALED
	:: atomic { state == sealing && !serving[0] ->
		tell_not_run();
		state = ended }
#endif
	:: atomic { state == sealing -> state = idle }
	:: atomic { state == running ->
		run_upstream();
		state = ended }
	/* Refused by the upstream with proof. */
	:: atomic { state == running ->
		tell_not_run();
		seal_sent[mine] = true;
		given_up[mine] = true;
		state = ended }
	/* Crash: a new incarnation knows nothing and has new attempts. */
	:: atomic { mine + PROCS <= ATTEMPTS ->
		mine = mine + PROCS;
		bound = false;
		state = idle }
	od
}

init
{
	atomic {
		byte p;

		for (p : 0 .. WITNESSES - 1) {
			serving[p] = true;
			run witness(p)
		}
		for (p : 1 .. PROCS) {
			run entry(p)
		}
	}
}
