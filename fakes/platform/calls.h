/*
 * HTTP calls of the fake platform: the store's gateway, the VM list, call
 * counts and fault injection.
 */
#ifndef FAKES_PLATFORM_CALLS_H
#define FAKES_PLATFORM_CALLS_H

#include "fakes/http.h"

struct gateway;

/*
 * Serves on ip and port; the VM list shows a change vms_lag later. Borrows
 * loop. Returns 0, PST_ERR_NOMEM, PST_ERR_IO or PST_ERR_HTTP.
 */
int gateway_start(struct gateway **out, struct evloop *loop, struct str ip,
		  uint16_t port, apr_interval_time_t vms_lag);

#endif
