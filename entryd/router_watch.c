#include "entryd/router_watch.h"

#include <poll.h>

#define NO_DEADLINE INT64_MAX

bool router_deadline_passed(struct req *req, apr_time_t now)
{
	bool uploading;

	if (req->deadline == NO_DEADLINE)
		return false;
	pthread_mutex_lock(&req->lock);
	uploading =
		req->stage == REQ_OPEN && req->body_length && !req->body.closed;
	pthread_mutex_unlock(&req->lock);
	if (uploading) {
		req->deadline = now + CLK_MS(req->deadline_ms);
		return false;
	}
	if (now < req->deadline)
		return false;
	req->deadline = NO_DEADLINE;
	return true;
}

/* libmicrohttpd does not watch a suspended connection. */
bool router_caller_disconnected(struct req *req)
{
	struct pollfd pfd = {.fd = -1, .events = POLLRDHUP};

	pthread_mutex_lock(&req->lock);
	if (req->conn && req->suspended)
		pfd.fd = req->caller_fd;
	pthread_mutex_unlock(&req->lock);
	if (pfd.fd < 0 || poll(&pfd, 1, 0) <= 0)
		return false;
	return pfd.revents & (POLLRDHUP | POLLHUP | POLLERR);
}
