/*
 * State machine of one request in pst-entryd.
 *
 * It takes events and returns actions, without I/O. These rules hold for every
 * sequence of events:
 * - a request is sent only while a permit is held and, if it carries a key,
 *   after the key was admitted;
 * - it is retried only after proof that the last attempt did not run, or when
 *   it is idempotent, and only while its body can be sent again;
 * - the caller is told "not run" only with proof; the refusal of a keyed
 *   request waits until its key is sealed;
 * - every permit is released once and every admitted key is ended once.
 */
#ifndef POLICY_REQSTATE_H
#define POLICY_REQSTATE_H

#include <stdbool.h>
#include <stddef.h>

/* Most attempts of one request, and most asks for a permit. */
#define REQSTATE_ATTEMPTS_MAX 3
#define REQSTATE_ASKS_MAX     6

/* Most actions that result from one event. */
#define REQSTATE_MAX_ACTIONS 6

enum reqstate_event_kind {
	REQSTATE_EV_START,
	/* The verdict on the key; see ticket. */
	REQSTATE_EV_TICKET,
	/* The answer to the ask for a permit; see permit. */
	REQSTATE_EV_PERMIT,
	/* No failure domain is left to ask. */
	REQSTATE_EV_NO_DOMAIN,
	/* The head of a response arrived and was forwarded. */
	REQSTATE_EV_HEAD,
	/* An attempt ended; see result. */
	REQSTATE_EV_RESULT,
	/* The caller closed its connection. */
	REQSTATE_EV_CALLER_GONE,
	REQSTATE_EV_DEADLINE,
};

enum reqstate_ticket {
	REQSTATE_TICKET_RUN,
	REQSTATE_TICKET_NOT_RUN,
	REQSTATE_TICKET_UNKNOWN,
};

enum reqstate_permit {
	REQSTATE_PERMIT_GRANTED,
	/* Another failure domain may have room. */
	REQSTATE_PERMIT_ELSEWHERE,
	/* No domain can answer before the deadline. */
	REQSTATE_PERMIT_LATE,
};

enum reqstate_result {
	/* Nothing reached the upstream. */
	REQSTATE_RESULT_NOT_SENT,
	/* The upstream proved that it did not run the request. */
	REQSTATE_RESULT_SHED,
	/* Sent, but no byte of a response came in time. */
	REQSTATE_RESULT_SILENT,
	/* Sent, but the connection was lost before a complete head. */
	REQSTATE_RESULT_LOST,
	/* The response belongs to another request or is malformed. */
	REQSTATE_RESULT_BAD,
	/*
	 * After its head was forwarded, the response was cut off or had a
	 * wrong digest.
	 */
	REQSTATE_RESULT_TRUNCATED,
	REQSTATE_RESULT_WHOLE,
	/* Only in a release: the caller's deadline passed. */
	REQSTATE_RESULT_EXPIRED,
};

struct reqstate_event {
	enum reqstate_event_kind kind;
	union {
		enum reqstate_ticket ticket;
		enum reqstate_permit permit;
		enum reqstate_result result;
	};
	/* With a result: whether the body can still be sent from its start. */
	bool replayable;
};

enum reqstate_action_kind {
	REQSTATE_ACT_ADMIT_KEY,
	REQSTATE_ACT_ASK_PERMIT,
	REQSTATE_ACT_CANCEL_ASK,
	REQSTATE_ACT_RELEASE,
	REQSTATE_ACT_END_KEY,
	REQSTATE_ACT_SEND,
	/* Close the upstream connection of the attempt in flight. */
	REQSTATE_ACT_ABORT_ATTEMPT,
	/* Refuse the request to the caller; see refuse. */
	REQSTATE_ACT_REFUSE,
	/* Close the caller's connection before the end of the response. */
	REQSTATE_ACT_ABORT_RESPONSE,
	/* No action follows; the request can be freed. */
	REQSTATE_ACT_DONE,
};

enum reqstate_end {
	REQSTATE_END_RAN,
	REQSTATE_END_NOT_RUN,
	REQSTATE_END_UNKNOWN,
};

/* Why a request was refused. */
enum reqstate_cause {
	REQSTATE_CAUSE_NONE,
	REQSTATE_CAUSE_KEY,
	REQSTATE_CAUSE_LATE,
	REQSTATE_CAUSE_NO_ROOM,
	REQSTATE_CAUSE_UPSTREAM,
	REQSTATE_CAUSE_SHED,
	REQSTATE_CAUSE_SILENT,
	REQSTATE_CAUSE_DEADLINE,
	REQSTATE_CAUSE_CALLER_GONE,
};

struct reqstate_action {
	enum reqstate_action_kind kind;
	union {
		/* Of a release: result of the attempt. */
		enum reqstate_result result;
		enum reqstate_end end;
		struct {
			/* The caller is told "not run", otherwise unknown. */
			bool not_run;
			enum reqstate_cause cause;
		} refuse;
	};
	/* Of a release: nothing was sent under the permit. */
	bool unused;
};

struct reqstate_actions {
	struct reqstate_action list[REQSTATE_MAX_ACTIONS];
	size_t count;
};

enum reqstate_phase {
	/* Waiting for the key's verdict, a permit, or both. */
	REQSTATE_ADMIT,
	REQSTATE_SENDING,
	REQSTATE_STREAMING,
	/* To be refused once the key's verdict has come. */
	REQSTATE_SEALING,
	REQSTATE_DONE,
};

struct reqstate {
	enum reqstate_phase phase;
	bool idempotent;
	bool keyed;
	bool key_admitted;
	bool key_pending;
	bool permit_held;
	bool permit_pending;
	bool caller_gone;
	/* An earlier attempt of an idempotent request may have run. */
	bool may_have_run;
	enum reqstate_cause cause;
	unsigned attempt_count;
	unsigned asks;
};

/*
 * keyed tells whether the request carries an idempotency key, which must be
 * admitted; idempotent whether it may run more than once.
 */
void reqstate_init(struct reqstate *reqstate, bool idempotent, bool keyed);

/* Applies one event and overwrites out; has no effect after REQSTATE_ACT_DONE.
 */
void reqstate_step(struct reqstate *reqstate,
		   const struct reqstate_event *event,
		   struct reqstate_actions *out);

const char *reqstate_cause_name(enum reqstate_cause cause);
const char *reqstate_result_name(enum reqstate_result result);

#endif
