#include "steerd/sockwatch.h"

#include "steerd/sock.h"

/*
 * Time between two checks: a window that closes right after one is noticed
 * before SOCK_USER_TIMEOUT_MS is over.
 */
#define CHECK_INTERVAL_S 2.0

static void remove_item(struct sockwatch *watch, struct sockwatch_item *item)
{
	TAILQ_REMOVE(&watch->items, item, link);
	item->is_watched = false;
	if (TAILQ_EMPTY(&watch->items))
		ev_timer_stop(watch->loop, &watch->timer);
}

static void check(struct sockwatch *watch, struct sockwatch_item *item)
{
	const enum sock_output output = sock_output(item->fd);
	const bool is_closed = output == SOCK_OUTPUT_NOT_TAKEN;

	if (is_closed != item->is_closed)
		sock_set_user_timeout(item->fd,
				      is_closed ? 0 : SOCK_USER_TIMEOUT_MS);
	item->is_closed = is_closed;
	if (output == SOCK_OUTPUT_NONE)
		remove_item(watch, item);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct sockwatch *watch = timer->data;
	struct sockwatch_item *item;
	struct sockwatch_item *next;

	(void)loop;
	(void)events;
	for (item = TAILQ_FIRST(&watch->items); item; item = next) {
		next = TAILQ_NEXT(item, link);
		check(watch, item);
	}
}

static void init(struct sockwatch *watch, struct ev_loop *loop)
{
	watch->loop = loop;
	TAILQ_INIT(&watch->items);
	ev_timer_init(&watch->timer, on_timer, 0, CHECK_INTERVAL_S);
	watch->timer.data = watch;
}

void sockwatch_written(struct sockwatch *watch, struct ev_loop *loop,
		       struct sockwatch_item *item, int fd)
{
	if (item->is_watched)
		return;
	if (!watch->loop)
		init(watch, loop);
	if (TAILQ_EMPTY(&watch->items))
		ev_timer_again(watch->loop, &watch->timer);
	item->fd = fd;
	item->is_watched = true;
	TAILQ_INSERT_TAIL(&watch->items, item, link);
}

void sockwatch_drop(struct sockwatch *watch, struct sockwatch_item *item)
{
	if (item->is_watched)
		remove_item(watch, item);
}
