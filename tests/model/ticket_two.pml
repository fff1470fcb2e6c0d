/*
 * Model of an alternative that docs/design/ticket.md considers and that is not
 * implemented: two witnesses for one ticket. An attempt runs only when both
 * granted its claim; a seal at either proves "not run". The model has one key,
 * PROCS entry processes and the network of ticket.pml; a witness that crashes
 * loses its register for good.
 *
 * The check of -DREACH must fail: it asserts that the verdict "not run" is
 * never given for a ticket whose first witness crashed before it was claimed.
 * These variants must fail too: -DONE_GRANT runs with one grant;
 * -DLOST_IS_SEALED treats a crashed witness as one that sealed; -DNO_GIVE_UP
 * lets an attempt that gave up run when its grants arrive late.
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

/* Index of witness w's replies to attempt a. */
#define AT(w, a) ((w) * (ATTEMPTS + 1) + (a))

mtype = { idle, claiming, sealing, running, ended };

bool claim_sent[ATTEMPTS + 1];
bool seal_sent[ATTEMPTS + 1];
bool yours_sent[WITNESSES * (ATTEMPTS + 1)];
bool sealed_sent[WITNESSES * (ATTEMPTS + 1)];
byte other_sent[WITNESSES * (ATTEMPTS + 1)];
/* The attempt's process answers, when asked, that it never runs the key. */
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
	/* The register is lost; the next incarnation never grants its ticket. */
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
	/* This attempt gave up and only requests seals from then on. */
	bool bound = false;

end:	do
	:: atomic { state == idle && !bound ->
		claim_sent[mine] = true;
		state = claiming }
	:: atomic { state == idle && bound ->
		seal_sent[mine] = true;
		state = sealing }
	/* A grant is late, or another attempt has one of the two. */
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
	/* A seal of either witness is proof. */
	:: atomic { (state == claiming || state == sealing) &&
			(SEALED_AT(0) || SEALED_AT(1)) ->
		given_up[mine] = true;
		bound = true;
		tell_not_run();
		state = ended }
	/* This attempt owns the ticket at one witness and will not run. */
	:: atomic { state == sealing && (YOURS_AT(0) || YOURS_AT(1)) ->
		tell_not_run();
		state = ended }
	/* An owner was asked and answered that it never runs the key. */
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
	/* The upstream refuses the request and proves that it did not run. */
	:: atomic { state == running ->
		tell_not_run();
		seal_sent[mine] = true;
		given_up[mine] = true;
		state = ended }
	/* Crash: the new incarnation has no records and new attempts. */
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
