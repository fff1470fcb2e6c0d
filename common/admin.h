/*
 * HTTP endpoint of a daemon for operators: GET /metrics, GET /health and
 * GET /explain?id=ID (recent log lines that contain ID). Connections are
 * accepted only from net.peers and from the VM's own address.
 */
#ifndef COMMON_ADMIN_H
#define COMMON_ADMIN_H

#include "common/settings.h"

struct admin;

/* Borrows set. Returns 0, PST_ERR_NOMEM or PST_ERR_HTTP. */
int admin_start(struct admin **out, const struct settings *set, uint16_t port);

/* NULL is allowed. */
void admin_stop(struct admin *admin);

#endif
