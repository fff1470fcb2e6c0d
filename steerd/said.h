/* What an upstream says of itself in its answers: load, leaving, quiet. */
#ifndef STEERD_SAID_H
#define STEERD_SAID_H

#include "steerd/st.h"

/*
 * Takes in the answer of an attempt; req is the request's id, for the log. Not
 * called for a refusal by another upstream at the same address. Only the load
 * report is taken from an answer that may belong to an earlier request.
 */
void said_record(struct st *st, const struct upclient_call *call, struct up *up,
		 struct str req, apr_time_t now);

#endif
