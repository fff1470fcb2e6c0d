#include "entryd/req.h"

#include <stddef.h>
#include <stdlib.h>

#include "common/err.h"

static void req_release(struct ref *ref)
{
	struct req *req = REF_CONTAINER(ref, struct req, ref);

	pipe_free(&req->body);
	pipe_free(&req->answer);
	curl_slist_free_all(req->headers);
	curl_slist_free_all(req->answer_headers);
	pthread_mutex_destroy(&req->lock);
	free(req->method);
	free(req->target);
	free(req);
}

int req_create(struct req **out, size_t buffer)
{
	struct req *req = calloc(1, sizeof(*req));

	if (!req)
		return PST_ERR_NOMEM;
	ref_init(&req->ref, req_release);
	pthread_mutex_init(&req->lock, NULL);
	pipe_init(&req->body, buffer);
	pipe_init(&req->answer, buffer);
	req->answer_length = -1;
	*out = req;
	return 0;
}

void req_get(struct req *req)
{
	ref_get(&req->ref);
}

void req_put(struct req *req)
{
	ref_put(&req->ref);
}

void req_suspend(struct req *req)
{
	if (req->suspended || !req->conn)
		return;
	req->suspended = true;
	MHD_suspend_connection(req->conn);
}

void req_resume(struct req *req)
{
	if (!req->suspended || !req->conn)
		return;
	req->suspended = false;
	MHD_resume_connection(req->conn);
}
