#include "tests/fix_permit.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"

#define STEP	      CLK_MS(1)
#define MESSAGE_DELAY CLK_MS(1)
#define TICK_STEPS    5

#define SERVICE	      "status"
#define DOMAIN	      "almaty-1"
#define BROKER_PORT   8083
#define ENTRY_PORT    8081

static const char manifest[] =
	"{\"regions\":[\"almaty\"],\"domains\":[{\"name\":\"almaty-1\","
	"\"region\":\"almaty\"}],\"links\":[],\"services\":[\"status\"]}";

#define ROW(rank, reserved)                                  \
	"{\"rank\":\"" rank                                  \
	"\",\"deadline_ms\":1000,\"reserved_pct\":" reserved \
	",\"shift_cap_pct_per_s\":10,"                       \
	"\"weights\":{\"almaty-1\":100},\"region_limits\":{}}"

static const char rows[] = "{\"rows\":[" ROW("urgent", "50") "," ROW(
	"normal", "30") "," ROW("bulk", "20") "]}";

static struct tbl *make_table(void)
{
	const struct tbl_part parts[] = {
		{STR_LIT("/pst/table/manifest"), 1, str_from_c(manifest)},
		{STR_LIT("/pst/table/service/status"), 1, str_from_c(rows)},
	};
	struct tbl_problem problem;
	struct tbl *tbl = NULL;

	ck_assert_int_eq(tbl_parse(&tbl, parts, 2, 1, &problem), 0);
	return tbl;
}

static size_t write_vms(const struct fix_net *net, char *out, size_t size)
{
	size_t len = 0;

	for (int i = 0; i < FIX_VMS; i++)
		len += (size_t)snprintf(
			out + len, size - len,
			"{\"id\":\"e%d\",\"kind\":\"entry\",\"state\":\"%s\","
			"\"region\":\"almaty\",\"failure_domain\":\"" DOMAIN
			"\",\"address\":\"127.0.1.%d\"},",
			i + 1, net->vm_leaving[i] ? "leaving" : "live", i + 1);
	for (unsigned i = 0; i < FIX_UPSTREAMS; i++)
		len += (size_t)snprintf(
			out + len, size - len,
			"%s{\"id\":\"u%u\",\"kind\":\"upstream\","
			"\"state\":\"%s\",\"region\":\"almaty\","
			"\"failure_domain\":\"" DOMAIN
			"\",\"address\":\"127.0.2.%u\",\"port\":9000,"
			"\"service\":\"" SERVICE "\",\"slots\":%u}",
			i ? "," : "", i + 1,
			net->leaving[i] ? "leaving" : "live", i + 1, FIX_SLOTS);
	return len;
}

static struct vmlist *make_list(struct fix_net *net)
{
	struct vmlist *vmlist = NULL;
	char json[4096];
	size_t len;

	len = (size_t)snprintf(json, sizeof(json),
			       "{\"revision\":%llu,\"vms\":[",
			       (unsigned long long)++net->revision);
	len += write_vms(net, json + len, sizeof(json) - len);
	len += (size_t)snprintf(json + len, sizeof(json) - len, "]}");
	ck_assert_int_eq(vmlist_parse(&vmlist, (struct str){json, len}), 0);
	return vmlist;
}

static void release_view(struct ref *ref)
{
	struct ctl_view *view = REF_CONTAINER(ref, struct ctl_view, ref);

	tbl_put(view->tbl);
	vmlist_put(view->vmlist);
	free(view);
}

/* ctl_view_make() is missing in test programs that replace agent/ctl.c. */
static struct ctl_view *make_view(struct fix_net *net)
{
	struct ctl_view *view = calloc(1, sizeof(*view));

	ck_assert_ptr_nonnull(view);
	ref_init(&view->ref, release_view);
	view->tbl = make_table();
	view->vmlist = make_list(net);
	return view;
}

void fix_net_list(struct fix_net *net)
{
	if (net->view)
		ref_put(&net->view->ref);
	net->view = make_view(net);
	for (int i = 0; i < FIX_VMS; i++) {
		if (net->vms[i].state)
			permit_state_view(net->vms[i].state, net->view,
					  net->now);
		if (net->vms[i].host)
			broker_host_set_view(net->vms[i].host, net->view,
					     net->now);
	}
}

static void free_message(struct fix_message *m)
{
	xdr_free(m->message.xargs, m->message.args);
	free(m->message.args);
}

static void send_message(void *ctx, const struct permit_message *message)
{
	struct fix_vm *vm = ctx;
	struct fix_net *net = vm->net;
	struct fix_message m = {.message = *message, .from = vm->number};

	m.at = net->now + MESSAGE_DELAY;
	net->reconnects += message->reconnect;
	if (net->now < net->lossy_until) {
		free_message(&m);
		return;
	}
	if (net->message_count == net->message_room) {
		net->message_room = net->message_room * 2 + 64;
		net->messages =
			realloc(net->messages,
				net->message_room * sizeof(*net->messages));
		ck_assert_ptr_nonnull(net->messages);
	}
	net->messages[net->message_count++] = m;
}

static unsigned in_use(const struct fix_net *net, const struct strbuf *upstream)
{
	unsigned used = 0;

	for (int i = 0; i < FIX_VMS; i++) {
		const struct fix_vm *vm = &net->vms[i];

		for (size_t a = 0; a < vm->answer_count; a++) {
			const struct fix_answer *f = &vm->answers[a];

			used += f->answer.result == PERMIT_GRANTED &&
				!f->released &&
				strbuf_eq(&f->answer.upstream, upstream);
		}
	}
	return used;
}

static void keep_answer(void *ctx, const struct permit_answer *answer)
{
	struct fix_vm *vm = ctx;
	unsigned used;

	ck_assert_uint_lt(vm->answer_count, FIX_ANSWERS);
	vm->answers[vm->answer_count++].answer = *answer;
	if (answer->result != PERMIT_GRANTED)
		return;
	used = in_use(vm->net, &answer->upstream);
	if (used > FIX_SLOTS && used - FIX_SLOTS > vm->net->excess)
		vm->net->excess = used - FIX_SLOTS;
}

void fix_net_start_state(struct fix_vm *vm)
{
	const struct permit_state_cfg cfg = {
		.policy = PICK_BROKER,
		.entry = str_from_c(vm->id),
		.region = STR_LIT("almaty"),
		.incarnation = 1000 * (uint64_t)vm->number + ++vm->starts,
		.broker_port = BROKER_PORT,
		.heartbeat = CLK_MS(1000),
		.silent_timeout = CLK_MS(400),
	};
	const struct permit_io io = {send_message, keep_answer, vm};

	ck_assert_int_eq(permit_state_create(&vm->state, &cfg, io), 0);
	if (vm->net->view)
		permit_state_view(vm->state, vm->net->view, vm->net->now);
}

void fix_net_start_host(struct fix_vm *vm)
{
	const struct broker_host_io io = {send_message, vm};

	vm->set.vm.id = str_from_c(vm->id);
	vm->set.vm.region = STR_LIT("almaty");
	vm->set.entry.rpc_port = ENTRY_PORT;
	vm->set.broker = (struct set_broker){
		.permit_ttl_ms = 3500,
		.learn_ms = 600,
		.ramp_ms = 10000,
		.ramp_start_pct = 25,
		.shed_hold_ms = 100,
		.silent_hold_ms = 500,
		.drain_hold_ms = 10000,
		.line_max = 4096,
	};
	ck_assert_int_eq(broker_host_create(&vm->host, &vm->set,
					    7000 + 100 * (uint64_t)vm->number +
						    ++vm->starts,
					    io),
			 0);
	if (vm->net->view)
		broker_host_set_view(vm->host, vm->net->view, vm->net->now);
}

void fix_net_kill_state(struct fix_vm *vm)
{
	permit_state_destroy(vm->state);
	vm->state = NULL;
	for (size_t i = 0; i < vm->answer_count; i++)
		vm->answers[i].released = true;
}

void fix_net_kill_host(struct fix_vm *vm)
{
	broker_host_destroy(vm->host);
	vm->host = NULL;
}

void fix_net_start(struct fix_net *net)
{
	*net = (struct fix_net){.now = CLK_SEC(100)};
	fix_net_list(net);
	for (int i = 0; i < FIX_VMS; i++) {
		struct fix_vm *vm = &net->vms[i];

		vm->net = net;
		vm->number = i;
		snprintf(vm->id, sizeof(vm->id), "e%d", i + 1);
		snprintf(vm->ip, sizeof(vm->ip), "127.0.1.%d", i + 1);
		fix_net_start_state(vm);
		fix_net_start_host(vm);
	}
}

void fix_net_stop(struct fix_net *net)
{
	for (size_t i = 0; i < net->message_count; i++)
		free_message(&net->messages[i]);
	free(net->messages);
	for (int i = 0; i < FIX_VMS; i++) {
		permit_state_destroy(net->vms[i].state);
		broker_host_destroy(net->vms[i].host);
	}
	ref_put(&net->view->ref);
}

static struct fix_vm *vm_at(struct fix_net *net, const struct strbuf *address)
{
	for (int i = 0; i < FIX_VMS; i++) {
		if (!strcmp(net->vms[i].ip, address->ptr))
			return &net->vms[i];
	}
	return NULL;
}

static void deliver(struct fix_net *net, const struct fix_message *m)
{
	struct fix_vm *to = vm_at(net, &m->message.address);
	struct strbuf from;

	ck_assert_ptr_nonnull(to);
	strbuf_set(&from, str_from_c(net->vms[m->from].ip));
	net->delivered++;
	if (m->message.port == BROKER_PORT && to->host)
		broker_host_batch(to->host, m->message.args, &from, net->now);
	else if (m->message.port == ENTRY_PORT && to->state)
		permit_state_answers(to->state, m->message.args, net->now);
}

static bool receiver_paused(struct fix_net *net, const struct fix_message *m)
{
	const struct fix_vm *to = vm_at(net, &m->message.address);

	return m->message.port == BROKER_PORT ? to->host_paused
					      : to->state_paused;
}

static void deliver_due(struct fix_net *net)
{
	size_t i = 0;

	while (i < net->message_count) {
		struct fix_message m = net->messages[i];

		if (m.at > net->now || receiver_paused(net, &m)) {
			i++;
			continue;
		}
		net->message_count--;
		memmove(&net->messages[i], &net->messages[i + 1],
			(net->message_count - i) * sizeof(m));
		deliver(net, &m);
		free_message(&m);
	}
}

static void step(struct fix_net *net)
{
	const bool tick = net->now / STEP % TICK_STEPS == 0;

	net->now += STEP;
	deliver_due(net);
	for (int i = 0; i < FIX_VMS; i++) {
		struct fix_vm *vm = &net->vms[i];

		if (vm->state && !vm->state_paused) {
			if (tick)
				permit_state_tick(vm->state, net->now);
			permit_state_flush(vm->state, net->now);
		}
		if (vm->host && !vm->host_paused) {
			if (tick)
				broker_host_tick(vm->host, net->now);
			broker_host_flush(vm->host, net->now);
		}
	}
}

void fix_net_run(struct fix_net *net, apr_interval_time_t time)
{
	const apr_time_t end = net->now + time;

	while (net->now < end)
		step(net);
}

struct fix_vm *fix_net_broker(struct fix_net *net)
{
	const struct vm *vm = NULL;

	ck_assert_uint_eq(vmlist_rendezvous(net->view->vmlist,
					    STR_LIT(SERVICE "/" DOMAIN),
					    STR_LIT(DOMAIN), &vm, 1),
			  1);
	return vm_at(net, &vm->address);
}

void fix_net_ask(struct fix_vm *vm, uint64_t id, enum rank rank,
		 apr_interval_time_t deadline)
{
	struct permit_ask ask = {
		.id = id,
		.rank = rank,
		.deadline = vm->net->now + deadline,
	};

	strbuf_set(&ask.service, STR_LIT(SERVICE));
	strbuf_set(&ask.domain, STR_LIT(DOMAIN));
	permit_state_ask(vm->state, &ask, vm->net->now);
}

void fix_net_release_all(struct fix_vm *vm, enum permit_outcome outcome)
{
	for (size_t i = 0; vm->state && i < vm->answer_count; i++) {
		struct fix_answer *f = &vm->answers[i];

		if (f->released || f->answer.result != PERMIT_GRANTED)
			continue;
		f->released = true;
		permit_state_release(vm->state, f->answer.permit_id, outcome,
				     vm->net->now);
	}
}

size_t fix_net_answers(const struct fix_vm *vm, uint64_t id,
		       struct permit_answer *last)
{
	size_t count = 0;

	for (size_t i = 0; i < vm->answer_count; i++) {
		if (vm->answers[i].answer.ask_id != id)
			continue;
		count++;
		if (last)
			*last = vm->answers[i].answer;
	}
	return count;
}
