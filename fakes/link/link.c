#include "fakes/link/link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "common/net.h"
#include "fakes/link/conn.h"

#define LOG_MODULE    "fake-link"

#define BITS_PER_BYTE 8
#define MEGA	      1000000ULL

static const char *const fault_names[] = {
	[LNK_FAULT_NONE] = "none",
	[LNK_FAULT_CUT] = "cut",
	[LNK_FAULT_SILENCE] = "silence",
	[LNK_FAULT_DROP] = "drop",
};

/* The proxy of one region. */
struct side {
	struct evloop_fd fd;
	struct lnk *link;
	enum lnk_direction direction;
};

static void on_accept(struct evloop_fd *fd, uint32_t events)
{
	struct side *side = (struct side *)(void *)fd;
	const int conn =
		accept4(fd->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)events;
	if (conn < 0)
		return;
	if (side->link->fault == LNK_FAULT_CUT)
		close(conn);
	else
		conn_accept(side->link, conn, side->direction);
}

static int open_side(struct lnk *link, const char *listen_at,
		     enum lnk_direction direction)
{
	const char *colon = strrchr(listen_at, ':');
	struct side *side = calloc(1, sizeof(*side));
	struct str ip = {.ptr = listen_at};
	uint64_t port;

	if (!side)
		return PST_ERR_NOMEM;
	side->link = link;
	side->direction = direction;
	side->fd.ready = on_accept;
	side->fd.fd = -1;
	if (!colon || str_to_u64(str_from_c(colon + 1), &port) ||
	    port > UINT16_MAX) {
		free(side);
		return PST_ERR_FAKE_LINK;
	}
	ip.len = (size_t)(colon - listen_at);
	side->fd.fd = net_listen(ip, (uint16_t)port);
	if (side->fd.fd < 0) {
		free(side);
		return PST_ERR_IO;
	}
	return evloop_watch(link->loop, &side->fd, EPOLLIN);
}

/* Parsed description of a link. */
struct description {
	char a[STR_ID_MAX + 1];
	char b[STR_ID_MAX + 1];
	char listen_a[STR_ID_MAX + 1];
	char listen_b[STR_ID_MAX + 1];
	uint64_t delay_us;
	uint64_t mbps;
};

static int parse_description(const char *text, struct description *out)
{
	unsigned long long delay;
	unsigned long long mbps;

	memset(out, 0, sizeof(*out));
	if (sscanf(text,
		   "a=%63[^,],b=%63[^,],listen_a=%63[^,],listen_b=%63[^,],"
		   "delay_us=%llu,mbps=%llu",
		   out->a, out->b, out->listen_a, out->listen_b, &delay,
		   &mbps) != 6)
		return PST_ERR_FAKE_LINK;
	out->delay_us = delay;
	out->mbps = mbps;
	return 0;
}

int lnk_open(struct lnk **out, struct evloop *loop, const char *text)
{
	struct lnk *link = calloc(1, sizeof(*link));
	struct description d;
	uint64_t rate;
	int err = link ? parse_description(text, &d) : PST_ERR_NOMEM;

	if (err) {
		free(link);
		return err;
	}
	link->loop = loop;
	link->conns = conn_list_create();
	link->delay = (apr_interval_time_t)d.delay_us;
	strbuf_set(&link->a, str_from_c(d.a));
	strbuf_set(&link->b, str_from_c(d.b));
	rate = d.mbps * MEGA / BITS_PER_BYTE;
	pace_init(&link->paces[LNK_A_TO_B], rate, evloop_now(loop));
	pace_init(&link->paces[LNK_B_TO_A], rate, evloop_now(loop));
	*out = link;
	err = open_side(link, d.listen_a, LNK_A_TO_B);
	return err ? err : open_side(link, d.listen_b, LNK_B_TO_A);
}

void lnk_set_fault(struct lnk *link, enum lnk_fault fault)
{
	evt_log(FAKE_LINK_FAULT, "link=%s-%s kind=%s connections=%zu",
		link->a.ptr, link->b.ptr, fault_names[fault], link->open);
	link->fault = fault;
	if (fault == LNK_FAULT_CUT)
		conn_close_all(link);
	if (fault == LNK_FAULT_SILENCE || fault == LNK_FAULT_DROP)
		conn_silence_all(link);
	/* Only open connections are silent; later ones work. */
	if (fault == LNK_FAULT_SILENCE)
		link->fault = LNK_FAULT_NONE;
}

static json_t *direction_stats(const struct pace *pace)
{
	return json_pack("{s:I,s:I,s:I}", "total", (json_int_t)pace->total,
			 "max_1s", (json_int_t)pace->max_window, "rate",
			 (json_int_t)pace->rate);
}

json_t *lnk_stats(const struct lnk *link)
{
	return json_pack("{s:s,s:s,s:s,s:I,s:I,s:o,s:o}", "a", link->a.ptr, "b",
			 link->b.ptr, "fault", fault_names[link->fault], "open",
			 (json_int_t)link->open, "opened",
			 (json_int_t)link->opened, "forth",
			 direction_stats(&link->paces[LNK_A_TO_B]), "back",
			 direction_stats(&link->paces[LNK_B_TO_A]));
}
