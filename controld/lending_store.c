/* Reads and swaps the ownership records, and asks the named holders. */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "agent/kvclient.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcc.h"
#include "controld/lending_state.h"

#define LOG_MODULE "share"

#define KEY_PREFIX "/pst/share/domain/"
#define KEY_MAX	   (sizeof(KEY_PREFIX) + STR_ID_MAX)

/* Largest record, in bytes. */
#define RECORD_MAX 512

static struct str key_of(struct str domain, char key[KEY_MAX])
{
	const int len =
		snprintf(key, KEY_MAX, KEY_PREFIX "%.*s", STR_ARG(domain));

	return (struct str){.ptr = key, .len = (size_t)len};
}

static void copy_member(const json_t *object, const char *name,
			struct strbuf *out)
{
	const json_t *value = json_object_get(object, name);

	strbuf_set(out, str_from_c(json_string_value(value)));
}

/* A malformed record yields an empty holder, which matches no VM. */
static void parse_record(const struct kvclient_item *item,
			 struct lending_record *out)
{
	json_t *object = json_loadb(item->value.ptr, item->value.len, 0, NULL);
	struct strbuf number = {0};

	*out = (struct lending_record){
		.present = true,
		.revision = item->mod_revision,
	};
	copy_member(object, "holder", &out->holder);
	copy_member(object, "address", &out->address);
	copy_member(object, "region", &out->region);
	copy_member(object, "incarnation", &number);
	str_to_u64(strbuf_str(&number), &out->incarnation);
	json_decref(object);
}

static void read_record(struct lending_state *state, struct kvclient *kvclient,
			struct lending_owned *owned, struct str domain)
{
	struct lending_record record = {0};
	struct kvclient_list list = {0};
	char key[KEY_MAX];
	const int err = kvclient_read_key(kvclient, key_of(domain, key), &list);

	if (!err && list.count)
		parse_record(&list.items[0], &record);
	pthread_mutex_lock(&state->lock);
	lending_root_on_read(&owned->root, clk_now(state->clk), err, &record);
	lending_state_apply(state, clk_now(state->clk));
	pthread_mutex_unlock(&state->lock);
	if (!err)
		kvclient_list_free(&list);
}

static void swap_record(struct lending_state *state, struct kvclient *kvclient,
			struct lending_owned *owned, struct str domain,
			uint64_t expected)
{
	const struct set_vm *vm = &state->set->vm;
	char text[RECORD_MAX];
	char key[KEY_MAX];
	uint64_t revision = 0;
	int err;
	const int len = snprintf(text, sizeof(text),
				 "{\"holder\":\"%.*s\",\"address\":\"%.*s\","
				 "\"region\":\"%.*s\",\"incarnation\":\"%lu\"}",
				 STR_ARG(vm->id), STR_ARG(vm->address),
				 STR_ARG(vm->region),
				 (unsigned long)state->incarnation);

	err = kvclient_swap(kvclient, key_of(domain, key), expected,
			    (struct str){.ptr = text, .len = (size_t)len}, 0,
			    &revision);
	pthread_mutex_lock(&state->lock);
	lending_root_on_swap(&owned->root, clk_now(state->clk), err, revision);
	lending_state_apply(state, clk_now(state->clk));
	pthread_mutex_unlock(&state->lock);
}

/* Whether a connection is refused, so that nothing listens there. */
static bool refuses_connections(const struct settings *set,
				const struct net_addr *to)
{
	struct pollfd polled = {.events = POLLOUT};
	struct net_addr from;
	socklen_t len = sizeof(int);
	int err = 0;

	if (net_addr_make(&from, set->vm.address, 0))
		return false;
	polled.fd = socket(to->ss.ss_family,
			   SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (polled.fd < 0)
		return false;
	if (!bind(polled.fd, (struct sockaddr *)&from.ss, from.len) &&
	    connect(polled.fd, (const struct sockaddr *)&to->ss, to->len))
		err = errno;
	if (err == EINPROGRESS &&
	    poll(&polled, 1, (int)set->net.rpc_timeout_ms) == 1)
		getsockopt(polled.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	close(polled.fd);
	return err == ECONNREFUSED;
}

static enum lending_reply call_holder(struct lending_state *state,
				      const struct lending_record *record,
				      struct rpcc *rpc, struct str domain,
				      apr_interval_time_t *rest)
{
	char name[STR_ID_MAX + 1];
	struct shr_x_about about = {
		.domain = name,
		.revision = record->revision,
	};
	struct shr_x_holds holds = {0};

	snprintf(name, sizeof(name), "%.*s", STR_ARG(domain));
	if (rpcc_call(rpc, SHR_X_ABOUT, (xdrproc_t)xdr_shr_x_about, &about,
		      (xdrproc_t)xdr_shr_x_holds, &holds,
		      CLK_MS(state->set->net.rpc_timeout_ms)))
		return LENDING_REPLY_SILENT;
	*rest = (apr_interval_time_t)holds.rest_us;
	if (holds.incarnation != record->incarnation)
		return LENDING_REPLY_GONE;
	return holds.holds ? LENDING_REPLY_HOLDS : LENDING_REPLY_NOT_HELD;
}

/* A refusal is evidence only for a VM that is reached without a proxy. */
static enum lending_reply ask_holder(struct lending_state *state,
				     const struct lending_record *record,
				     struct str domain,
				     apr_interval_time_t *rest)
{
	const struct str region = strbuf_str(&record->region);
	const struct settings *set = state->set;
	struct net_addr addr;
	struct net_addr proxy;
	struct rpcc *rpc = NULL;
	enum lending_reply reply;

	/* An earlier process of this VM has ended: this one has its port. */
	if (str_eq(strbuf_str(&record->holder), set->vm.id))
		return LENDING_REPLY_GONE;
	if (net_addr_make(&addr, strbuf_str(&record->address),
			  (uint16_t)set->control.rpc_port) ||
	    rpcc_create(&rpc, set, state->clk, region, &addr, SHR_X_PROGRAM,
			SHR_X_VERSION))
		return LENDING_REPLY_SILENT;
	reply = call_holder(state, record, rpc, domain, rest);
	rpcc_destroy(rpc);
	if (reply == LENDING_REPLY_SILENT &&
	    (str_eq(region, set->vm.region) ||
	     net_proxy_for(set, region, &proxy) == PST_ERR_NOTFOUND) &&
	    refuses_connections(set, &addr))
		return LENDING_REPLY_GONE;
	return reply;
}

static void query_holder(struct lending_state *state,
			 struct lending_owned *owned, struct str domain,
			 const struct lending_record *record)
{
	apr_interval_time_t rest = 0;
	const enum lending_reply reply =
		ask_holder(state, record, domain, &rest);

	pthread_mutex_lock(&state->lock);
	lending_root_on_reply(&owned->root, clk_now(state->clk), reply, rest);
	lending_state_apply(state, clk_now(state->clk));
	pthread_mutex_unlock(&state->lock);
}

static void run_job(struct lending_state *state, struct kvclient *kvclient,
		    struct lending_owned *owned)
{
	struct lending_record record;
	enum lending_phase step;
	struct strbuf domain;

	pthread_mutex_lock(&state->lock);
	record = owned->root.record;
	step = owned->root.state;
	domain = owned->root.domain;
	pthread_mutex_unlock(&state->lock);
	switch (step) {
	case LENDING_ASKING:
		query_holder(state, owned, strbuf_str(&domain), &record);
		break;
	case LENDING_CLAIMING:
		swap_record(state, kvclient, owned, strbuf_str(&domain),
			    record.present ? record.revision : 0);
		break;
	case LENDING_IDLE:
	case LENDING_READING:
	case LENDING_HOLDING:
	case LENDING_SUSPENDED:
		read_record(state, kvclient, owned, strbuf_str(&domain));
		break;
	}
}

void *lending_store_run(void *arg)
{
	struct lending_state *state = arg;
	struct kvclient *kvclient = NULL;

	while (!state->stopping) {
		void *job = NULL;

		if (!kvclient &&
		    kvclient_create(&kvclient, state->set, state->clk)) {
			usleep(LENDING_STEP_INTERVAL);
			continue;
		}
		if (apr_queue_pop(state->jobs, &job))
			continue;
		run_job(state, kvclient, job);
	}
	kvclient_destroy(kvclient);
	return NULL;
}
