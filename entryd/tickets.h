/* Answers POST /v1/tickets. */
#ifndef ENTRYD_TICKETS_H
#define ENTRYD_TICKETS_H

#include <microhttpd.h>

#include "agent/ticket.h"

/* Whether the request, by its path and query, asks for tickets. */
bool tickets_wanted(const char *uri);

/* Queues the tickets, or a refusal, on the connection. */
enum MHD_Result tickets_answer(struct MHD_Connection *conn,
			       struct tkt_agent *agent);

#endif
