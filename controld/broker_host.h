/*
 * The brokers of one VM and their clients, the entry VMs, without threads and
 * connections. Not thread-safe.
 */
#ifndef CONTROLD_BROKER_HOST_H
#define CONTROLD_BROKER_HOST_H

#include "agent/ctl.h"
#include "agent/permit_out.h"
#include "common/settings.h"
#include "controld/broker_poll.h"
#include "schema/gen/permit.h"

struct broker_host;

struct broker_host_io {
	/* Takes ownership of mail->args. */
	void (*send)(void *ctx, const struct permit_message *mail);
	void *ctx;
};

/* Borrows set. Returns 0 or PST_ERR_NOMEM. */
int broker_host_create(struct broker_host **out, const struct settings *set,
		       uint64_t incarnation, struct broker_host_io io);
void broker_host_destroy(struct broker_host *host);

/* Sets the table and VM list to work by; takes its own reference. */
void broker_host_set_view(struct broker_host *host, struct ctl_view *view,
			  apr_time_t now);

/* Handles a batch of asks from the entry VM at address. */
void broker_host_batch(struct broker_host *host, const pmt_batch *batch,
		       const struct strbuf *address, apr_time_t now);

/* Handles a load report of an upstream. */
void broker_host_report(struct broker_host *host, const struct strbuf *upstream,
			const struct load_report *report, apr_time_t now);

/* Runs what is due at now; ends brokers and drops clients that are idle. */
void broker_host_tick(struct broker_host *host, apr_time_t now);

/* Sends the collected answers. */
void broker_host_flush(struct broker_host *host, apr_time_t now);

/* Whether an ask is waiting. */
bool broker_host_has_waiting(const struct broker_host *host);

/* Permits granted and not yet returned, over all brokers. */
size_t broker_host_permit_count(const struct broker_host *host);

/*
 * Sets *out to the upstreams to be polled, an array from malloc(), if they have
 * changed since the last call; otherwise returns false.
 */
bool broker_host_targets(struct broker_host *host,
			 struct broker_poll_target **out, size_t *count);

#endif
