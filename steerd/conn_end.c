#include "steerd/conn_end.h"

#include <stdio.h>

#include "common/ctr.h"
#include "common/evt.h"
#include "steerd/sock.h"

#define LOG_MODULE "conn"

/* Most lines on unsent answers that a server writes in a second. */
#define MAX_LINES_PER_S 100

const char *srv_end_name(enum srv_end end)
{
	static const char *const names[SRV_ENDS] = {
		[SRV_END_CALLER_CLOSED] = "caller_gone",
		[SRV_END_CALLER_RESET] = "caller_reset",
		[SRV_END_IDLE_TIMEOUT] = "idle_timeout",
		[SRV_END_NO_ROOM] = "closed_for_room",
		[SRV_END_NO_MEMORY] = "no_memory",
		[SRV_END_ANSWERED] = "last_answer",
		[SRV_END_BEHIND_LAST] = "behind_last_answer",
		[SRV_END_LINGER_PEER] = "linger_peer",
		[SRV_END_LINGER_TIME] = "linger_time",
		[SRV_END_STOP_IDLE] = "stop_idle",
		[SRV_END_NOT_READ] = "not_read",
		[SRV_END_STOP_CUT] = "stop_cut",
	};

	return names[end];
}

static void count_unsent(enum srv_end end)
{
	static struct ctr *counters[SRV_ENDS];

	/* All appear with 0, so that one that is missing is noticed. */
	for (int i = 0; i < SRV_ENDS && !counters[i]; i++) {
		char label[48];

		snprintf(label, sizeof(label), "cause=\"%s\"",
			 srv_end_name((enum srv_end)i));
		counters[i] =
			ctr_get("pst_answers_unsent_total", label,
				"Answers with bytes that were not written "
				"or not acknowledged when their "
				"connection ended.");
	}
	ctr_add(counters[end], 1);
}

static bool take_line(struct srv *srv)
{
	const apr_time_t second = clk_now(srv->clk) / APR_USEC_PER_SEC;

	if (srv->unsent_second != second) {
		srv->unsent_second = second;
		srv->unsent_lines = 0;
	}
	return srv->unsent_lines++ < MAX_LINES_PER_S;
}

struct unsent {
	struct str id;
	size_t bytes;
	size_t unwritten;
	size_t unacked;
	/* Bytes of input that were not read: closing sends a reset. */
	size_t unread;
};

static void record_unsent(struct srv *srv, const struct unsent *unsent,
			  enum srv_end end)
{
	/* The kernel delivers the rest after an orderly close. */
	const bool orderly = end == SRV_END_ANSWERED && !unsent->unwritten &&
			     !unsent->unread;

	if (unsent->unwritten || unsent->unacked)
		count_unsent(end);
	if (srv->stopping)
		srv->ends.unsent += unsent->unwritten + unsent->unacked;
	if ((orderly && !srv->stopping) || !take_line(srv))
		return;
	evt_log(ANSWER_UNSENT,
		"req=%.*s end=%s bytes=%zu unwritten=%zu unacked=%zu "
		"unread=%zu",
		STR_ARG(unsent->id), srv_end_name(end), unsent->bytes,
		unsent->unwritten, unsent->unacked, unsent->unread);
}

void conn_end_track(struct srv_conn *conn, const struct srv_req *req,
		    size_t bytes)
{
	struct conn_answer *answer;

	if (!conn->srv->ops->logs_answers)
		return;
	answer = &conn->answers[conn->answer_count++ % CONN_ANSWERS];
	answer->id = req->id;
	answer->bytes = bytes;
	answer->end = conn->written + conn->out.len;
}

/* The part of the range from begin to end that lies between from and to. */
static size_t overlap(uint64_t begin, uint64_t end, uint64_t from, uint64_t to)
{
	if (begin < from)
		begin = from;
	if (end > to)
		end = to;
	return end > begin ? (size_t)(end - begin) : 0;
}

static void record_answers(struct srv_conn *conn, enum srv_end end)
{
	const unsigned first = conn->answer_count > CONN_ANSWERS
				       ? conn->answer_count - CONN_ANSWERS
				       : 0;
	const size_t unread = sock_unread(conn->fd);
	/* A reset may destroy even what the caller's kernel has acknowledged.
	 */
	const bool resets = unread && conn->srv->stopping;
	size_t unacked = sock_unsent(conn->fd);
	uint64_t acked;

	/* The end of the stream counts as one byte. */
	if (conn->lingering && unacked)
		unacked--;
	if (!unacked && !conn->out.len && !resets)
		return;
	acked = unacked < conn->written ? conn->written - unacked : 0;
	for (unsigned i = first; i < conn->answer_count; i++) {
		const struct conn_answer *answer =
			&conn->answers[i % CONN_ANSWERS];
		const uint64_t begin = answer->end - answer->bytes;
		const struct unsent unsent = {
			.id = strbuf_str(&answer->id),
			.bytes = answer->bytes,
			.unwritten = overlap(begin, answer->end, conn->written,
					     answer->end),
			.unacked = overlap(begin, answer->end, acked,
					   conn->written),
			.unread = unread,
		};

		if (unsent.unwritten || unsent.unacked ||
		    (resets && i + 1 == conn->answer_count))
			record_unsent(conn->srv, &unsent, end);
	}
}

void conn_end_record(struct srv_conn *conn, enum srv_end end)
{
	struct srv *srv = conn->srv;

	if (srv->stopping) {
		srv->ends.conns[end]++;
		if (conn->reading)
			srv->ends.reading++;
	}
	if (srv->ops->logs_answers)
		record_answers(conn, end);
}

void conn_end_drop(struct srv_conn *conn, enum srv_end end,
		   void (*req_free)(struct srv_req *req))
{
	struct srv *srv = conn->srv;
	struct srv_req *req;

	while ((req = TAILQ_FIRST(&conn->reqs))) {
		TAILQ_REMOVE(&conn->reqs, req, link);
		if (!req->answered) {
			if (srv->stopping && req->dispatched)
				srv->ends.passed_on++;
			else if (srv->stopping)
				srv->ends.not_passed_on++;
			srv->ops->gone(srv->ctx, req, end);
		} else if (srv->ops->logs_answers) {
			const struct unsent unsent = {
				.id = strbuf_str(&req->id),
				.bytes = req->answer.len,
				.unwritten = req->answer.len,
			};

			record_unsent(srv, &unsent, end);
		}
		req_free(req);
	}
}
