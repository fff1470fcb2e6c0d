#include "tests/stub_agents.h"

#include <stdio.h>
#include <stdlib.h>

#include "agent/permit.h"
#include "agent/quota.h"
#include "common/err.h"
#include "entryd/router.h"

struct router *stub_rte;
struct ctl_view stub_view;
struct str stub_upstream_ip;
uint16_t stub_upstream_port;
int stub_remote;
size_t stub_link_piece = 5000;
atomic_uint_fast64_t stub_taken;
atomic_uint stub_granted;
atomic_uint stub_released;
atomic_uint stub_reported_load;
atomic_uint stub_ended[3];
enum tkt_verdict stub_verdict = TKT_RUN;

struct ctl_view *ctl_agent_view(struct ctl_agent *agent)
{
	(void)agent;
	return &stub_view;
}

void ctl_view_put(struct ctl_view *v)
{
	(void)v;
}

bool ctl_agent_fresh(struct ctl_agent *agent)
{
	(void)agent;
	return true;
}

int quota_pick_domain(struct quota_agent *agent, const struct tbl *tbl,
		      const struct tbl_row *row, uint64_t random,
		      const bool *skip)
{
	(void)agent;
	(void)tbl;
	(void)row;
	(void)random;
	return skip[0] ? -1 : stub_remote;
}

/* For calls from other threads, also after the last test: no ck_assert. */
static void require(bool holds)
{
	if (!holds)
		abort();
}

bool quota_take_request(struct quota_agent *agent, const struct tbl_row *row,
			uint32_t region)
{
	(void)agent;
	(void)row;
	(void)region;
	return true;
}

size_t quota_take_bytes(struct quota_agent *agent, uint32_t from, uint32_t to,
			enum rank rank, size_t want)
{
	(void)agent;
	(void)rank;
	if (from == to)
		return want;
	require(want > 0);
	want = want < stub_link_piece ? want : stub_link_piece;
	stub_taken += want;
	return want;
}

void quota_return_taken(struct quota_agent *agent, uint32_t from, uint32_t to,
			size_t bytes, apr_time_t taken_at)
{
	require(taken_at > 0);
	require(taken_at <= clk_now(clk_system()));
	(void)agent;
	(void)from;
	(void)to;
	stub_taken -= bytes;
}

int permit_agent_ask(struct permit_agent *agent, const struct permit_ask *ask)
{
	struct permit_answer answer = {
		.ask_id = ask->id,
		.result = PERMIT_GRANTED,
		.permit_id = ask->id,
		.port = stub_upstream_port,
	};

	(void)agent;
	strbuf_set(&answer.upstream, STR_LIT("u1"));
	strbuf_set(&answer.address, stub_upstream_ip);
	stub_granted++;
	router_on_permit(stub_rte, &answer);
	return 0;
}

void permit_agent_cancel(struct permit_agent *agent, uint64_t ask_id)
{
	(void)agent;
	(void)ask_id;
}

void permit_agent_release(struct permit_agent *agent, uint64_t permit_id,
			  enum permit_outcome outcome)
{
	(void)agent;
	(void)permit_id;
	(void)outcome;
	stub_released++;
}

void permit_agent_report(struct permit_agent *agent, uint64_t permit_id,
			 const struct load_report *report)
{
	(void)agent;
	(void)permit_id;
	stub_reported_load = report->load_permille;
}

int tkt_agent_admit(struct tkt_agent *agent, uint64_t request_id,
		    struct str key, apr_time_t deadline)
{
	const struct tkt_answer answer = {
		.request_id = request_id,
		.verdict = stub_verdict,
		.reason = stub_verdict == TKT_RUN ? 0 : PST_ERR_TKT_SEALED,
	};

	(void)agent;
	(void)key;
	(void)deadline;
	router_on_ticket(stub_rte, &answer);
	return 0;
}

void tkt_agent_end(struct tkt_agent *agent, struct str key, enum tkt_end end)
{
	(void)agent;
	(void)key;
	stub_ended[end]++;
}

size_t tkt_agent_issue(struct tkt_agent *agent, size_t count,
		       char out[][TKT_KEY_MAX + 1])
{
	(void)agent;
	for (size_t i = 0; i < count; i++)
		snprintf(out[i], TKT_KEY_MAX, "t%zu", i);
	return count;
}
