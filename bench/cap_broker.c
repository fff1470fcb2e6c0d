/*
 * Cost of a broker: time per permit (ask, grant, release), bytes per held
 * permit and per waiting ask, at several numbers of slots, with and without a
 * queue; bytes and number of messages per request.
 */
#include <stdio.h>
#include <stdlib.h>

#include "agent/permit_batch.h"
#include "common/clk.h"
#include "policy/broker_core.h"
#include "policy/broker_state.h"

#define SLOTS_EACH  3
#define ENTRIES	    24
#define ROUNDS	    200000
#define QUEUED_ASKS 200

struct permits {
	uint64_t *ids;
	struct strbuf *entries;
	size_t count;
	size_t next;
};

static void collect_permit(void *ctx, const struct broker_answer *answer)
{
	struct permits *p = ctx;

	if (answer->result != PERMIT_GRANTED)
		return;
	p->ids[p->count] = answer->permit;
	p->entries[p->count++] = *answer->entry;
}

static struct broker_entry *entry_of(struct broker *b, unsigned number)
{
	char name[16];
	const int len =
		snprintf(name, sizeof(name), "entry-%u", number % ENTRIES);

	return broker_hello(b, (struct str){name, (size_t)len}, 1, 0);
}

static void ask(struct broker *b, uint64_t id, apr_time_t now)
{
	const struct broker_ask a = {
		.id = id,
		.rank = (enum rank)(id % RANK_COUNT),
		.deadline = now + CLK_SEC(3600),
	};

	broker_ask(b, entry_of(b, (unsigned)id), &a, now);
}

static struct broker *new_broker(size_t slots, struct permits *p)
{
	const struct broker_cfg cfg = {
		.permit_ttl = CLK_SEC(3600),
		.queue_max = 1000000,
		.epoch = 1,
	};
	const struct broker_sink sink = {.answer = collect_permit, .ctx = p};
	const uint32_t pct[RANK_COUNT] = {50, 30, 20};
	const size_t count = slots / SLOTS_EACH;
	struct broker_listed_vm *vms = calloc(count, sizeof(*vms));
	struct broker *b = NULL;

	for (size_t i = 0; vms && i < count; i++) {
		char name[24];
		const int len = snprintf(name, sizeof(name), "upstream-%zu", i);

		strbuf_set(&vms[i].name, (struct str){name, (size_t)len});
		vms[i].slots = SLOTS_EACH;
	}
	if (vms && !broker_create(&b, &cfg, sink, 0)) {
		broker_set_reserves(b, pct, 0);
		broker_set_upstreams(b, vms, count, 0);
	}
	free(vms);
	return b;
}

static void end_oldest(struct broker *b, struct permits *p, apr_time_t now)
{
	const uint64_t id = p->ids[p->next];
	const struct strbuf name = p->entries[p->next++];
	struct broker_entry *entry = broker_hello(b, strbuf_str(&name), 1, now);

	broker_release(b, entry, id, PERMIT_DONE, now);
}

/*
 * Fills half of the slots, or all of them and a queue; then releases the
 * oldest permit and asks for a new one, in turn.
 */
static void measure(size_t slots, bool with_queue)
{
	struct permits p = {
		.ids = calloc(ROUNDS + slots + QUEUED_ASKS, sizeof(uint64_t)),
		.entries = calloc(ROUNDS + slots + QUEUED_ASKS,
				  sizeof(struct strbuf)),
	};
	struct broker *b = new_broker(slots, &p);
	const size_t first = with_queue ? slots + QUEUED_ASKS : slots / 2;
	apr_time_t from;
	apr_time_t took;

	for (uint64_t i = 0; b && p.ids && p.entries && i < first; i++)
		ask(b, i, 0);
	from = clk_now(clk_system());
	for (uint64_t i = 0; b && p.ids && p.entries && i < ROUNDS; i++) {
		end_oldest(b, &p, (apr_time_t)i);
		ask(b, first + i, (apr_time_t)i);
	}
	took = clk_now(clk_system()) - from;
	printf("broker,time_per_permit_%s,%zu,%.0f,ns\n",
	       with_queue ? "with_line" : "free", slots,
	       (double)took * 1000 / ROUNDS);
	from = clk_now(clk_system());
	for (int i = 0; b && i < 1000; i++)
		broker_tick(b, ROUNDS + i);
	took = clk_now(clk_system()) - from;
	if (!with_queue)
		printf("broker,time_per_tick,%zu,%.0f,ns\n", slots,
		       (double)took);
	broker_destroy(b);
	free(p.ids);
	free(p.entries);
}

static void print_bytes(void)
{
	printf("broker,bytes_per_held_permit,1,%zu,bytes\n",
	       sizeof(struct broker_permit) + sizeof(void *) * 2);
	printf("broker,bytes_per_waiting_ask,1,%zu,bytes\n",
	       sizeof(struct broker_queued) + sizeof(void *));
	printf("broker,bytes_per_entry,1,%zu,bytes\n",
	       sizeof(struct broker_entry) + sizeof(void *));
	printf("broker,bytes_per_upstream,1,%zu,bytes\n",
	       sizeof(struct broker_up) + sizeof(void *));
}

static size_t size_of(xdrproc_t proc, void *message)
{
	return xdr_sizeof(proc, message);
}

/* Sizes of a batch of asks and releases to one broker, and of its answers. */
static void print_messages(unsigned requests)
{
	pmt_batch *batch =
		permit_batch_new(STR_LIT("entry-12"), STR_LIT("almaty"), 1);
	pmt_answers *answers = permit_answers_new(STR_LIT("entry-3"), 1, 1);
	const pmt_answer answer = {.ask = 1, .permit = 1};
	pmt_part *part;

	if (!batch || !answers ||
	    permit_batch_part(batch, STR_LIT("status"), STR_LIT("almaty-1")))
		return;
	part = batch->parts.parts_val;
	for (unsigned i = 0; i < requests; i++) {
		permit_batch_ask(part, i, RANK_NORMAL, CLK_SEC(1));
		permit_batch_release(part, i, PERMIT_DONE);
		permit_answers_add(answers, &answer, STR_LIT("status"),
				   STR_LIT("almaty-1"), STR_LIT("status-12"),
				   STR_LIT("127.1.1.101"));
	}
	printf("broker,bytes_per_request_up,%u,%.0f,bytes\n", requests,
	       (double)size_of((xdrproc_t)xdr_pmt_batch, batch) / requests);
	printf("broker,bytes_per_request_down,%u,%.0f,bytes\n", requests,
	       (double)size_of((xdrproc_t)xdr_pmt_answers, answers) / requests);
	printf("broker,messages_per_request,%u,%.2f,messages\n", requests,
	       requests > 1 ? 2.0 / requests : 3.0);
	xdr_free((xdrproc_t)xdr_pmt_batch, batch);
	xdr_free((xdrproc_t)xdr_pmt_answers, answers);
	free(batch);
	free(answers);
}

int main(void)
{
	static const size_t slots[] = {69, 699, 6999};

	for (size_t i = 0; i < 3; i++) {
		measure(slots[i], false);
		measure(slots[i], true);
	}
	print_bytes();
	print_messages(1);
	print_messages(10);
	print_messages(100);
	return 0;
}
