/*
 * The operators' HTTP endpoint of a daemon: GET /metrics, GET /health and
 * GET /explain?id=ID (kept log lines that contain ID). Only addresses in
 * net.peers and the VM's own address are answered.
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
