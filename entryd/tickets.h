/* Answers POST /v1/tickets. */
#ifndef ENTRYD_TICKETS_H
#define ENTRYD_TICKETS_H

#include <microhttpd.h>

#include "agent/ticket.h"

/* Whether a URI names the ticket resource, with or without a query. */
bool tickets_wanted(const char *uri);

/* Queues an answer with tickets, or a refusal. */
enum MHD_Result tickets_answer(struct MHD_Connection *conn,
			       struct tkt_agent *agent);

#endif
