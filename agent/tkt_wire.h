/* RPC numbers and XDR conversions of the protocol; see schema/ticket.x. */
#ifndef AGENT_TKT_WIRE_H
#define AGENT_TKT_WIRE_H

#include "policy/tkt_wset.h"
#include "schema/gen/ticket.h"

#define TKT_HOME_PROG	 0x20505301
#define TKT_WITNESS_PROG 0x20505302
#define TKT_VERS	 1

enum tkt_home_proc {
	TKT_PROC_QUERY = 1,
};

enum tkt_witness_proc {
	TKT_PROC_APPLY = 1,
	TKT_PROC_OPEN = 2,
	TKT_PROC_SHRINK = 3,
	TKT_PROC_ADOPT = 4,
};

void tkt_wire_encode_op(struct tktm_op *out, const struct tkt_op *op);

/*
 * Leaves the sender's VM and incarnation in *out as they are, as a message
 * has them once for all operations. Returns false for an operation that this
 * version does not know.
 */
bool tkt_wire_decode_op(struct tkt_op *out, const struct tktm_op *op);

void tkt_wire_encode_ruling(struct tktm_ruling *out,
			    const struct tkt_ruling *ruling);

/* A grant that this version does not know becomes TKT_GRANT_NO_REPLY. */
struct tkt_ruling tkt_wire_decode_ruling(const struct tktm_ruling *ruling);

/* Fills in *out; its items must have room for those of the chunk. */
void tkt_wire_encode_chunk(struct tktm_adopt_args *out,
			   const struct tkt_chunk *chunk);
void tkt_wire_decode_chunk(struct tkt_chunk *out,
			   const struct tktm_adopt_args *in);

/* An outcome that this version does not know becomes TKT_OUTCOME_NO_RECORD. */
enum tkt_outcome tkt_wire_decode_outcome(u_int outcome);

#endif
