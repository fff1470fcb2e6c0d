/*
 * The brokers of one VM and the entry VMs that they answer, without threads
 * and connections. Belongs to one thread.
 */
#ifndef CONTROLD_BRK_HOST_H
#define CONTROLD_BRK_HOST_H

#include "agent/ctl.h"
#include "agent/permit_out.h"
#include "common/settings.h"
#include "controld/brk_poll.h"
#include "schema/gen/permit.h"

struct brk_host;

struct brk_host_io {
	/* Takes over mail->args. */
	void (*send)(void *ctx, const struct permit_mail *mail);
	void *ctx;
};

/* Borrows set. Returns 0 or PST_ERR_NOMEM. */
int brk_host_create(struct brk_host **out, const struct settings *set,
		    uint64_t incarnation, struct brk_host_io io);
void brk_host_destroy(struct brk_host *host);

/* Takes a reference of its own. */
void brk_host_view(struct brk_host *host, struct ctl_view *view,
		   apr_time_t now);

/* A batch of asks from the entry VM at address. */
void brk_host_batch(struct brk_host *host, const pmt_batch *batch,
		    const struct strbuf *address, apr_time_t now);
void brk_host_report(struct brk_host *host, const struct strbuf *upstream,
		     const struct permit_report *report, apr_time_t now);
void brk_host_tick(struct brk_host *host, apr_time_t now);

/* Sends the answers collected. */
void brk_host_flush(struct brk_host *host, apr_time_t now);

/* Whether an ask waits. */
bool brk_host_busy(const struct brk_host *host);

/* Permits out, of all brokers. */
size_t brk_host_held(const struct brk_host *host);

/*
 * The upstreams to be polled, from malloc(), when they have changed since
 * the last call; else returns false.
 */
bool brk_host_targets(struct brk_host *host, struct brk_poll_target **out,
		      size_t *count);

#endif
