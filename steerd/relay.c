#include "steerd/relay.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_changes.h"
#include "steerd/feedstate.h"
#include "steerd/self.h"

#define LOG_MODULE "relay"

/* Time between two checks for watches that have waited long enough. */
#define CHECK_INTERVAL_S  0.1

#define JSON_TYPE	  "Content-Type: application/json\r\n"

#define ANSWER_FIELDS_MAX 160

/*
 * Time for which a list waits for this VM's own, in milliseconds: four calls to
 * another region in a start of all VMs, and less than the asker's time-out.
 */
#define LIST_WAIT_MS 800

/* A watch, or a list, of another VM. */
struct relay_watch {
	struct srv_req *req;
	struct feed *feed;
	bool is_list;
	/* Era of the store that the VM knows: this VM may not know it yet. */
	uint64_t era;
	uint64_t after;
	apr_time_t received_at;
	apr_time_t wait_until;
	/* Answered without a change once this VM's data is newer than that. */
	apr_time_t known_at;
	TAILQ_ENTRY(relay_watch) link;
};

/* Answers with the store's era, as the store itself does. */
static void answer(const struct relay *relay, struct srv_req *req,
		   unsigned status, struct str reason, const char *fields,
		   struct str body)
{
	char line[PLT_ERA_LINE_MAX];
	char all[ANSWER_FIELDS_MAX];

	snprintf(all, sizeof(all), "%s%s", plt_era_line(relay->st->era, line),
		 fields);
	srv_answer(req, status, reason, str_from_c(all), body);
}

static void refuse(const struct relay *relay, struct srv_req *req,
		   unsigned status, struct str reason)
{
	answer(relay, req, status, reason, "", STR_LIT(""));
}

static void watch_free(struct relay *relay, struct relay_watch *watch)
{
	if (relay->next == watch)
		relay->next = TAILQ_NEXT(watch, link);
	TAILQ_REMOVE(&relay->watches, watch, link);
	watch->req->user = NULL;
	free(watch);
	if (TAILQ_EMPTY(&relay->watches))
		ev_timer_stop(relay->st->loop, &relay->timer);
}

/* Whether this VM's state is fresh, or will be when the store answers. */
static bool may_be_fresh(const struct relay *relay, const struct feed *feed)
{
	return !relay->st->stopping &&
	       (feed_is_following(feed) || feed_is_settling(feed));
}

static bool is_fresh(const struct relay *relay, const struct feed *feed)
{
	return may_be_fresh(relay, feed) &&
	       relaytree_is_fresh(feed_fresh_at(feed), clk_now(relay->st->clk));
}

/* Whether what this VM knows is not of an older era than what is asked for. */
static bool knows_era(const struct relay *relay,
		      const struct relay_watch *watch)
{
	return watch->era <= relay->st->era;
}

/* Answers a list once this VM has listed the keys itself. */
static void try_list(struct relay *relay, struct relay_watch *watch)
{
	struct feed *feed = watch->feed;
	struct srv_req *req = watch->req;
	struct str body;

	if (!relay->st->stopping && knows_era(relay, watch) && feed->listed &&
	    !feed->restarted && !feed->after.len &&
	    !keys_encode(&feed->keys, feed->revision, &body)) {
		watch_free(relay, watch);
		answer(relay, req, 200, STR_LIT("OK"),
		       JSON_TYPE PLT_LIST_CODING, body);
	} else if (relay->st->stopping ||
		   clk_now(relay->st->clk) >= watch->wait_until) {
		watch_free(relay, watch);
		refuse(relay, req, 503, STR_LIT("Service Unavailable"));
	}
}

/* Answers if there is a change, or if the watch has waited long enough. */
static void try_watch(struct relay *relay, struct relay_watch *watch)
{
	const bool late = clk_now(relay->st->clk) >= watch->wait_until;
	struct srv_req *req = watch->req;
	struct buf body = {0};
	int count;

	if (!knows_era(relay, watch) || !is_fresh(relay, watch->feed)) {
		/* The store may answer the call in progress in time. */
		if (!late && may_be_fresh(relay, watch->feed))
			return;
		watch_free(relay, watch);
		refuse(relay, req, 503, STR_LIT("Service Unavailable"));
		return;
	}
	count = plt_put_changes(&body, &watch->feed->changes, watch->after,
				watch->received_at -
					feed_fresh_at(watch->feed));
	if (count > 0 ||
	    (!count && (late || relaytree_is_newer(feed_fresh_at(watch->feed),
						   watch->known_at)))) {
		watch_free(relay, watch);
		answer(relay, req, 200, STR_LIT("OK"), JSON_TYPE,
		       buf_str(&body));
	} else if (count < 0) {
		watch_free(relay, watch);
		refuse(relay, req, count == PST_ERR_STALE ? 410 : 503,
		       STR_LIT("Not Known"));
	}
	buf_free(&body);
}

static void try_answer(struct relay *relay, struct relay_watch *watch)
{
	if (watch->is_list)
		try_list(relay, watch);
	else
		try_watch(relay, watch);
}

static struct feed *find_feed(const struct relay *relay, struct str prefix)
{
	for (size_t i = 0; i < relay->group->count; i++) {
		if (str_eq(relay->group->feeds[i].prefix, prefix))
			return &relay->group->feeds[i];
	}
	return NULL;
}

static void on_request(void *ctx, struct srv_req *req)
{
	struct relay *relay = ctx;
	const apr_time_t now = clk_now(relay->st->clk);
	struct plt_watch_request query = {.wait_ms = LIST_WAIT_MS};
	const bool is_list =
		!plt_read_list_request(msg_target(&req->msg), &query);
	struct relay_watch *watch;
	struct feed *feed;

	if (!is_list && plt_read_watch_request(msg_target(&req->msg), &query)) {
		refuse(relay, req, 404, STR_LIT("Not Found"));
		return;
	}
	if (relaytree_refuses(relay->st->downtime.store_unavailable,
			      query.served)) {
		refuse(relay, req, 503, STR_LIT("Service Unavailable"));
		return;
	}
	if (!is_list && query.era && query.era < relay->st->era) {
		/* The revision is void: the VM that asks lists again. */
		refuse(relay, req, 410, STR_LIT("Not Known"));
		return;
	}
	relay->st->relaytree.asked_at = now;
	feed = find_feed(relay, strbuf_str(&query.prefix));
	if ((feed && feed_is_direct(feed) &&
	     relaytree_is_nearly_stale(relay->st->relaytree.fresh_at, now)) ||
	    query.era > relay->st->era)
		self_renew(relay->st->self);
	watch = feed ? calloc(1, sizeof(*watch)) : NULL;
	if (!watch) {
		refuse(relay, req, 503, STR_LIT("Service Unavailable"));
		return;
	}
	*watch = (struct relay_watch){
		.req = req,
		.feed = feed,
		.is_list = is_list,
		.era = query.era,
		.after = query.after,
		.received_at = now,
		.wait_until = now + CLK_MS(query.wait_ms),
		.known_at = query.wants_newer
				    ? now - (apr_interval_time_t)query.age
				    : APR_INT64_MAX,
	};
	req->user = watch;
	TAILQ_INSERT_TAIL(&relay->watches, watch, link);
	if (!ev_is_active(&relay->timer))
		ev_timer_again(relay->st->loop, &relay->timer);
	try_answer(relay, watch);
}

static void on_gone(void *ctx, struct srv_req *req, enum srv_end end)
{
	(void)end;
	if (req->user)
		watch_free(ctx, req->user);
}

const struct srv_ops relay_ops = {
	.request = on_request,
	.gone = on_gone,
};

static void answer_watches(struct relay *relay, const struct feed *feed)
{
	struct relay_watch *watch;

	for (watch = TAILQ_FIRST(&relay->watches); watch; watch = relay->next) {
		relay->next = TAILQ_NEXT(watch, link);
		if (!feed || watch->feed == feed)
			try_answer(relay, watch);
	}
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	answer_watches(timer->data, NULL);
}

void relay_init(struct relay *relay)
{
	TAILQ_INIT(&relay->watches);
	ev_timer_init(&relay->timer, on_timer, 0, CHECK_INTERVAL_S);
	relay->timer.data = relay;
}

void relay_on_restart(void *ctx)
{
	struct relay *relay = ctx;
	struct relay_watch *watch;

	for (watch = TAILQ_FIRST(&relay->watches); watch; watch = relay->next) {
		struct srv_req *req = watch->req;

		relay->next = TAILQ_NEXT(watch, link);
		if (watch->is_list || watch->era >= relay->st->era)
			continue;
		watch_free(relay, watch);
		refuse(relay, req, 410, STR_LIT("Not Known"));
	}
}

void relay_on_update(void *ctx, struct feed *feed)
{
	answer_watches(ctx, feed);
}
