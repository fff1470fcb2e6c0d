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
#ifndef POLICY_PTH_H
#define POLICY_PTH_H

#include <stdbool.h>
#include <stddef.h>

/* Most attempts of one request, and most asks for a permit. */
#define PTH_ATTEMPTS_MAX 3
#define PTH_ASKS_MAX	 6

/* Most actions that result from one event. */
#define PTH_MAX_ACTIONS 6

enum pth_event_kind {
	PTH_EV_START,
	/* The verdict on the key; see ticket. */
	PTH_EV_TICKET,
	/* The answer to the ask for a permit; see permit. */
	PTH_EV_PERMIT,
	/* No failure domain is left to ask. */
	PTH_EV_NO_DOMAIN,
	/* The head of a response arrived and was forwarded. */
	PTH_EV_HEAD,
	/* An attempt ended; see result. */
	PTH_EV_RESULT,
	/* The caller closed its connection. */
	PTH_EV_CALLER_GONE,
	PTH_EV_DEADLINE,
};

enum pth_ticket {
	PTH_TICKET_RUN,
	PTH_TICKET_NOT_RUN,
	PTH_TICKET_UNKNOWN,
};

enum pth_permit {
	PTH_PERMIT_GRANTED,
	/* Another failure domain may have room. */
	PTH_PERMIT_ELSEWHERE,
	/* No domain can answer before the deadline. */
	PTH_PERMIT_LATE,
};

enum pth_result {
	/* Nothing reached the upstream. */
	PTH_RESULT_NOT_SENT,
	/* The upstream proved that it did not run the request. */
	PTH_RESULT_SHED,
	/* Sent, but no byte of a response came in time. */
	PTH_RESULT_SILENT,
	/* Sent, but the connection was lost before a complete head. */
	PTH_RESULT_LOST,
	/* The response belongs to another request or is malformed. */
	PTH_RESULT_BAD,
	/*
	 * After its head was forwarded, the response was cut off or had a
	 * wrong digest.
	 */
	PTH_RESULT_TRUNCATED,
	PTH_RESULT_WHOLE,
	/* Only in a release: the caller's deadline passed. */
	PTH_RESULT_EXPIRED,
};

struct pth_event {
	enum pth_event_kind kind;
	union {
		enum pth_ticket ticket;
		enum pth_permit permit;
		enum pth_result result;
	};
	/* With a result: whether the body can still be sent from its start. */
	bool replayable;
};

enum pth_action_kind {
	PTH_ACT_ADMIT_KEY,
	PTH_ACT_ASK_PERMIT,
	PTH_ACT_CANCEL_ASK,
	PTH_ACT_RELEASE,
	PTH_ACT_END_KEY,
	PTH_ACT_SEND,
	/* Close the upstream connection of the attempt in flight. */
	PTH_ACT_ABORT_ATTEMPT,
	/* Refuse the request to the caller; see refuse. */
	PTH_ACT_REFUSE,
	/* Close the caller's connection before the end of the response. */
	PTH_ACT_ABORT_RESPONSE,
	/* No action follows; the request can be freed. */
	PTH_ACT_DONE,
};

enum pth_end {
	PTH_END_RAN,
	PTH_END_NOT_RUN,
	PTH_END_UNKNOWN,
};

/* Why a request was refused. */
enum pth_cause {
	PTH_CAUSE_NONE,
	PTH_CAUSE_KEY,
	PTH_CAUSE_LATE,
	PTH_CAUSE_NO_ROOM,
	PTH_CAUSE_UPSTREAM,
	PTH_CAUSE_SHED,
	PTH_CAUSE_SILENT,
	PTH_CAUSE_DEADLINE,
	PTH_CAUSE_CALLER_GONE,
};

struct pth_action {
	enum pth_action_kind kind;
	union {
		/* Of a release: result of the attempt. */
		enum pth_result result;
		enum pth_end end;
		struct {
			/* The caller is told "not run", otherwise unknown. */
			bool not_run;
			enum pth_cause cause;
		} refuse;
	};
	/* Of a release: nothing was sent under the permit. */
	bool unused;
};

struct pth_actions {
	struct pth_action list[PTH_MAX_ACTIONS];
	size_t count;
};

enum pth_phase {
	/* Waiting for the key's verdict, a permit, or both. */
	PTH_ADMIT,
	PTH_SENDING,
	PTH_STREAMING,
	/* To be refused once the key's verdict has come. */
	PTH_SEALING,
	PTH_DONE,
};

struct pth {
	enum pth_phase phase;
	bool idempotent;
	bool keyed;
	bool key_admitted;
	bool key_pending;
	bool permit_held;
	bool permit_pending;
	bool caller_gone;
	/* An earlier attempt of an idempotent request may have run. */
	bool may_have_run;
	enum pth_cause cause;
	unsigned attempt_count;
	unsigned asks;
};

/*
 * keyed tells whether the request carries an idempotency key, which must be
 * admitted; idempotent whether it may run more than once.
 */
void pth_init(struct pth *pth, bool idempotent, bool keyed);

/* Applies one event and overwrites out; has no effect after PTH_ACT_DONE. */
void pth_step(struct pth *pth, const struct pth_event *event,
	      struct pth_actions *out);

const char *pth_cause_name(enum pth_cause cause);
const char *pth_result_name(enum pth_result result);

#endif
