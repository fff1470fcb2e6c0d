#include "fakes/platform/watch.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "common/err.h"
#include "fakes/platform/etcd.h"

/* Time between checks for clients that have closed their connection. */
#define SWEEP_INTERVAL_MS 200
/* Size of the blocks in which libmicrohttpd asks for bytes. */
#define STREAM_BLOCK_BYTES 32768

struct watch {
	TAILQ_ENTRY(watch) link;
	struct watchset *list;
	struct httpsrv *server;
	struct MHD_Connection *conn;
	int fd;
	struct str key;
	struct str end;
	uint64_t revision;
	uint64_t cursor;
	/* Bytes not yet sent. */
	char *pending;
	size_t pending_len;
	bool muted;
	bool closing;
	bool suspended;
};

TAILQ_HEAD(watches, watch);

struct watchset {
	struct evloop *loop;
	struct memstore *store;
	struct watches watches;
	size_t count;
	struct evloop_timer sweep;
};

static void wake(struct watch *watch)
{
	if (!watch->suspended)
		return;
	watch->suspended = false;
	httpsrv_resume(watch->server, watch->conn);
}

static void append(struct watch *watch, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	const size_t len = strlen(text);
	char *grown = realloc(watch->pending, watch->pending_len + len + 1);

	json_decref(root);
	if (grown) {
		/* The newline replaces the final NUL. */
		memcpy(grown + watch->pending_len, text, len + 1);
		grown[watch->pending_len + len] = '\n';
		watch->pending = grown;
		watch->pending_len += len + 1;
	}
	free(text);
	wake(watch);
}

static json_t *result(const struct watchset *list, json_t **inner)
{
	json_t *root = json_object();

	*inner = json_object();
	json_object_set_new(*inner, "header",
			    etcdjson_header(memstore_revision(list->store)));
	json_object_set_new(*inner, "watch_id", json_string("0"));
	json_object_set_new(root, "result", *inner);
	return root;
}

static void send_created(struct watch *watch)
{
	json_t *inner;
	json_t *root = result(watch->list, &inner);

	json_object_set_new(inner, "created", json_true());
	append(watch, root);
}

static void send_compacted(struct watch *watch)
{
	json_t *inner;
	json_t *root = result(watch->list, &inner);

	json_object_set_new(inner, "canceled", json_true());
	json_object_set_new(
		inner, "compact_revision",
		json_sprintf("%llu", (unsigned long long)memstore_revision(
					     watch->list->store)));
	append(watch, root);
	watch->closing = true;
}

static void send_events(struct watch *watch)
{
	json_t *events = json_array();
	const struct memstore_event *event;
	json_t *inner;
	json_t *root;
	int err;

	for (;;) {
		event = memstore_next(watch->list->store, &watch->cursor,
				      watch->revision, watch->key, watch->end,
				      &err);
		if (!event)
			break;
		json_array_append_new(
			events,
			event->deleted
				? json_pack("{s:s,s:o}", "type", "DELETE", "kv",
					    etcdjson_item(&event->item))
				: json_pack("{s:o}", "kv",
					    etcdjson_item(&event->item)));
	}
	if (err) {
		json_decref(events);
		send_compacted(watch);
		return;
	}
	if (!json_array_size(events)) {
		json_decref(events);
		return;
	}
	root = result(watch->list, &inner);
	json_object_set_new(inner, "events", events);
	append(watch, root);
}

static ssize_t on_read(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct watch *watch = cls;
	size_t len = watch->pending_len < max ? watch->pending_len : max;

	(void)pos;
	if (!len && watch->closing)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (!len) {
		watch->suspended = true;
		MHD_suspend_connection(watch->conn);
		return 0;
	}
	memcpy(buf, watch->pending, len);
	watch->pending_len -= len;
	memmove(watch->pending, watch->pending + len, watch->pending_len);
	return (ssize_t)len;
}

static void on_free(void *cls)
{
	struct watch *watch = cls;

	TAILQ_REMOVE(&watch->list->watches, watch, link);
	watch->list->count--;
	free((void *)(uintptr_t)watch->key.ptr);
	free((void *)(uintptr_t)watch->end.ptr);
	free(watch->pending);
	free(watch);
}

static bool peer_closed(const struct watch *watch)
{
	char byte;

	return recv(watch->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void on_sweep(struct evloop_timer *timer)
{
	struct watchset *list =
		(struct watchset *)(void *)((char *)timer -
					    offsetof(struct watchset, sweep));
	struct watch *watch;

	TAILQ_FOREACH(watch, &list->watches, link)
	{
		if (!watch->suspended || !peer_closed(watch))
			continue;
		watch->closing = true;
		wake(watch);
	}
	evloop_timer_set(list->loop, &list->sweep,
			 evloop_now(list->loop) + CLK_MS(SWEEP_INTERVAL_MS));
}

int watchset_create(struct watchset **out, struct evloop *loop,
		    struct memstore *store)
{
	struct watchset *list = calloc(1, sizeof(*list));

	if (!list)
		return PST_ERR_NOMEM;
	list->loop = loop;
	list->store = store;
	TAILQ_INIT(&list->watches);
	list->sweep.fire = on_sweep;
	on_sweep(&list->sweep);
	*out = list;
	return 0;
}

static struct watch *make_watch(struct watchset *list, struct httpsrv_req *req,
				const json_t *create)
{
	struct watch *watch = calloc(1, sizeof(*watch));

	if (!watch)
		return NULL;
	watch->list = list;
	watch->server = req->server;
	watch->conn = req->conn;
	watch->fd = MHD_get_connection_info(req->conn,
					    MHD_CONNECTION_INFO_CONNECTION_FD)
			    ->connect_fd;
	watch->key.ptr = etcdjson_bytes(create, "key", &watch->key.len);
	watch->end.ptr = etcdjson_bytes(create, "range_end", &watch->end.len);
	watch->revision = etcdjson_number(create, "start_revision");
	if (!watch->revision)
		watch->cursor = memstore_cursor(list->store);
	TAILQ_INSERT_TAIL(&list->watches, watch, link);
	list->count++;
	return watch;
}

void watchset_add(struct watchset *list, struct httpsrv_req *req,
		  const json_t *request)
{
	struct watch *watch = make_watch(
		list, req, json_object_get(request, "create_request"));
	struct MHD_Response *response;

	if (!watch) {
		httpsrv_abort(req);
		return;
	}
	response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, on_read, watch, on_free);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	send_created(watch);
	send_events(watch);
	httpsrv_answer(req, MHD_HTTP_OK, response);
}

void watchset_notify(struct watchset *list)
{
	struct watch *watch;

	TAILQ_FOREACH(watch, &list->watches, link)
	{
		if (!watch->muted && !watch->closing)
			send_events(watch);
	}
}

void watchset_mute(struct watchset *list)
{
	struct watch *watch;

	TAILQ_FOREACH(watch, &list->watches, link)
	watch->muted = true;
}

void watchset_close(struct watchset *list)
{
	struct watch *watch;

	TAILQ_FOREACH(watch, &list->watches, link)
	{
		watch->closing = true;
		wake(watch);
	}
}

size_t watchset_count(const struct watchset *list)
{
	return list->count;
}
