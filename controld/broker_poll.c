#include "controld/broker_poll.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "common/err.h"
#include "policy/orca.h"

/* Largest load report accepted, in bytes. */
#define REPORT_MAX 4096

/* Longest wait for socket activity in one iteration, in ms. */
#define POLL_WAIT_MS 50

#define URL_MAX	     128

struct probe {
	struct broker_poll *poll;
	struct broker_poll_target target;
	CURL *easy;
	bool busy;
	bool kept;
	apr_time_t next_at;
	size_t len;
	char body[REPORT_MAX];
};

struct broker_poll {
	const struct settings *set;
	const struct clk *clk;
	void (*on_report)(void *ctx, const struct strbuf *upstream,
			  const struct load_report *report);
	void *ctx;
	CURLM *multi;
	struct probe **probes;
	size_t probe_count;
	/* Guards the targets set since the last iteration of the thread. */
	pthread_mutex_t lock;
	struct broker_poll_target *wanted;
	size_t wanted_count;
	bool changed;
	atomic_bool stopping;
	pthread_t thread;
	bool started;
};

static size_t append_body(char *data, size_t size, size_t count, void *arg)
{
	struct probe *probe = arg;
	const size_t len = size * count;

	if (len > sizeof(probe->body) - probe->len)
		return 0;
	memcpy(probe->body + probe->len, data, len);
	probe->len += len;
	return len;
}

static void free_probe(struct probe *probe)
{
	if (probe->busy)
		curl_multi_remove_handle(probe->poll->multi, probe->easy);
	curl_easy_cleanup(probe->easy);
	free(probe);
}

static struct probe *new_probe(struct broker_poll *poll,
			       const struct broker_poll_target *target)
{
	const struct settings *set = poll->set;
	struct probe *probe = calloc(1, sizeof(*probe));
	char url[URL_MAX];

	if (!probe)
		return NULL;
	probe->easy = curl_easy_init();
	if (!probe->easy) {
		free(probe);
		return NULL;
	}
	probe->poll = poll;
	probe->target = *target;
	snprintf(url, sizeof(url),
		 strchr(target->address.ptr, ':') ? "http://[%s]:%u/load"
						  : "http://%s:%u/load",
		 target->address.ptr, target->port);
	curl_easy_setopt(probe->easy, CURLOPT_URL, url);
	curl_easy_setopt(probe->easy, CURLOPT_INTERFACE, set->vm.address.ptr);
	curl_easy_setopt(probe->easy, CURLOPT_TIMEOUT_MS,
			 (long)set->broker.poll_timeout_ms);
	curl_easy_setopt(probe->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(probe->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(probe->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(probe->easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(probe->easy, CURLOPT_WRITEDATA, probe);
	curl_easy_setopt(probe->easy, CURLOPT_PRIVATE, probe);
	return probe;
}

static bool same_target(const struct broker_poll_target *a,
			const struct broker_poll_target *b)
{
	return strbuf_eq(&a->upstream, &b->upstream) &&
	       strbuf_eq(&a->address, &b->address) && a->port == b->port;
}

static struct probe *keep_probe(struct broker_poll *poll,
				const struct broker_poll_target *target)
{
	for (size_t i = 0; i < poll->probe_count; i++) {
		struct probe *probe = poll->probes[i];

		if (same_target(&probe->target, target)) {
			probe->kept = true;
			return probe;
		}
	}
	return new_probe(poll, target);
}

/* Reuses the probes, with their connections, of targets that remain. */
static void replace_probes(struct broker_poll *poll,
			   const struct broker_poll_target *wanted,
			   size_t count)
{
	struct probe **probes = calloc(count + 1, sizeof(struct probe *));
	size_t made = 0;

	if (!probes)
		return;
	for (size_t i = 0; i < count; i++) {
		struct probe *probe = keep_probe(poll, &wanted[i]);

		if (probe)
			probes[made++] = probe;
	}
	for (size_t i = 0; i < poll->probe_count; i++) {
		if (!poll->probes[i]->kept)
			free_probe(poll->probes[i]);
	}
	for (size_t i = 0; i < made; i++)
		probes[i]->kept = false;
	free(poll->probes);
	poll->probes = probes;
	poll->probe_count = made;
}

static void update_targets(struct broker_poll *poll)
{
	struct broker_poll_target *wanted = NULL;
	size_t count = 0;
	bool changed;

	pthread_mutex_lock(&poll->lock);
	changed = poll->changed;
	if (changed) {
		wanted = poll->wanted;
		count = poll->wanted_count;
		poll->wanted = NULL;
		poll->changed = false;
	}
	pthread_mutex_unlock(&poll->lock);
	if (changed)
		replace_probes(poll, wanted, count);
	free(wanted);
}

static void start_due(struct broker_poll *poll)
{
	const apr_time_t now = clk_now(poll->clk);

	for (size_t i = 0; i < poll->probe_count; i++) {
		struct probe *probe = poll->probes[i];

		if (probe->busy || now < probe->next_at)
			continue;
		probe->next_at =
			now + CLK_MS(poll->set->broker.poll_interval_ms);
		probe->len = 0;
		probe->busy = !curl_multi_add_handle(poll->multi, probe->easy);
	}
}

static void finish_probe(struct broker_poll *poll, struct probe *probe,
			 CURLcode code)
{
	const struct str body = {.ptr = probe->body, .len = probe->len};
	struct load_report report;
	long status = 0;

	curl_easy_getinfo(probe->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(poll->multi, probe->easy);
	probe->busy = false;
	if (code || status != 200 || orca_parse(body, &report))
		return;
	poll->on_report(poll->ctx, &probe->target.upstream, &report);
}

static void finish_completed(struct broker_poll *poll)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(poll->multi, &left))) {
		struct probe *probe = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &probe);
		finish_probe(poll, probe, msg->data.result);
	}
}

static void *run(void *arg)
{
	struct broker_poll *poll = arg;
	int running;

	while (!poll->stopping) {
		update_targets(poll);
		start_due(poll);
		curl_multi_perform(poll->multi, &running);
		finish_completed(poll);
		curl_multi_poll(poll->multi, NULL, 0, POLL_WAIT_MS, NULL);
	}
	return NULL;
}

int broker_poll_start(struct broker_poll **out, const struct settings *set,
		      const struct clk *clk,
		      void (*on_report)(void *ctx,
					const struct strbuf *upstream,
					const struct load_report *report),
		      void *ctx)
{
	struct broker_poll *poll = calloc(1, sizeof(*poll));

	if (!poll)
		return PST_ERR_NOMEM;
	poll->set = set;
	poll->clk = clk;
	poll->on_report = on_report;
	poll->ctx = ctx;
	pthread_mutex_init(&poll->lock, NULL);
	poll->multi = curl_multi_init();
	if (!poll->multi) {
		broker_poll_stop(poll);
		return PST_ERR_HTTP;
	}
	if (pthread_create(&poll->thread, NULL, run, poll)) {
		broker_poll_stop(poll);
		return PST_ERR_THREAD;
	}
	poll->started = true;
	*out = poll;
	return 0;
}

void broker_poll_stop(struct broker_poll *poll)
{
	if (!poll)
		return;
	poll->stopping = true;
	if (poll->started) {
		curl_multi_wakeup(poll->multi);
		pthread_join(poll->thread, NULL);
	}
	for (size_t i = 0; i < poll->probe_count; i++)
		free_probe(poll->probes[i]);
	free(poll->probes);
	free(poll->wanted);
	curl_multi_cleanup(poll->multi);
	pthread_mutex_destroy(&poll->lock);
	free(poll);
}

int broker_poll_set_targets(struct broker_poll *poll,
			    struct broker_poll_target *targets, size_t count)
{
	if (count && !targets)
		return PST_ERR_NOMEM;
	pthread_mutex_lock(&poll->lock);
	free(poll->wanted);
	poll->wanted = targets;
	poll->wanted_count = count;
	poll->changed = true;
	pthread_mutex_unlock(&poll->lock);
	curl_multi_wakeup(poll->multi);
	return 0;
}
