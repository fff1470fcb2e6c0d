/*
 * Datagrams between the accounts and permits of VMs: coding, and the messages
 * that wait for the next datagram to each VM.
 */
#ifndef STEERD_ACCTMSG_H
#define STEERD_ACCTMSG_H

#include <netinet/in.h>

#include <rpc/rpc.h>

#include "common/str.h"
#include "schema/gen/account.h"

/* Size of the largest datagram, in bytes. */
#define ACCTMSG_MAX_BYTES 1024

/* VMs to which messages may wait at the same time. */
#define ACCTMSG_MAX_DESTS 32

/* A message of any type. */
struct acctmsg {
	enum {
		ACCTMSG_ASK,
		ACCTMSG_GRANT,
		ACCTMSG_PULL,
		ACCTMSG_GIVE,
	} type;
	union {
		struct act_x_ask ask;
		struct act_x_grant grant;
		struct act_x_pull pull;
		struct act_x_give give;
	};
};

/* Messages of one datagram. Zeroed memory is a valid empty one. */
struct acctmsg_batch {
	struct act_x_ask asks[ACT_X_MOST_ASKS];
	struct act_x_grant grants[ACT_X_MOST_GRANTS];
	struct act_x_pull pulls[ACT_X_MOST_PULLS];
	struct act_x_give gives[ACT_X_MOST_GIVES];
	unsigned ask_count;
	unsigned grant_count;
	unsigned pull_count;
	unsigned give_count;
};

/* Adds a message; returns whether the datagram had room for it. */
bool acctmsg_add(struct acctmsg_batch *batch, const struct acctmsg *msg);

/* Encodes into out; returns the bytes used, 0 if they do not fit. */
size_t acctmsg_encode(const struct acctmsg_batch *batch,
		      char out[ACCTMSG_MAX_BYTES]);

/*
 * Decodes a whole datagram. Returns 0, or PST_ERR_INVALID if it is malformed,
 * has more messages than fit, has bytes behind the last one, or a number that
 * is negative or not finite.
 */
int acctmsg_decode(struct acctmsg_batch *batch, struct str bytes);

struct acctmsg_dest {
	struct sockaddr_in to;
	struct acctmsg_batch batch;
};

/* Messages that wait; the caller sets send and ctx. */
struct acctmsg_outbox {
	void (*send)(void *ctx, const struct sockaddr_in *to, struct str bytes);
	void *ctx;
	unsigned count;
	struct acctmsg_dest dests[ACCTMSG_MAX_DESTS];
};

/* Adds a message; sends datagrams that are full. */
void acctmsg_put(struct acctmsg_outbox *outbox, const struct sockaddr_in *to,
		 const struct acctmsg *msg);

/* Sends all messages that wait. */
void acctmsg_flush(struct acctmsg_outbox *outbox);

#endif
