/* fake-link: links between regions, with delay, rate and injected faults. */
#include <stdio.h>
#include <string.h>

#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "fakes/cmd.h"
#include "fakes/fault.h"
#include "fakes/http.h"
#include "fakes/link/link.h"

#define LOG_MODULE   "fake-link"

#define DEFAULT_PORT 7000
#define MAX_LINKS    32

static const char *const fault_names[] = {"none", "cut", "silence", "drop",
					  NULL};

struct links {
	struct lnk *list[MAX_LINKS];
	size_t count;
};

static json_t *all_stats(const struct links *links)
{
	json_t *list = json_array();

	for (size_t i = 0; i < links->count; i++)
		json_array_append_new(list, lnk_stats(links->list[i]));
	return json_pack("{s:o}", "links", list);
}

/* match names a region, a link as "A-B", or nothing for all. */
static bool matches(const struct lnk *link, struct str match)
{
	char name[2 * STR_ID_MAX + 2];

	if (!match.len || str_eq(match, strbuf_str(&link->a)) ||
	    str_eq(match, strbuf_str(&link->b)))
		return true;
	snprintf(name, sizeof(name), "%s-%s", link->a.ptr, link->b.ptr);
	return str_eq(match, str_from_c(name));
}

static int set_fault(const struct links *links, const struct httpsrv_req *req)
{
	const struct str text = {.ptr = req->body, .len = req->body_len};
	struct faultinj fault;
	const int err = faultinj_parse(text, fault_names, &fault);

	if (err)
		return err;
	for (size_t i = 0; i < links->count; i++) {
		if (matches(links->list[i], strbuf_str(&fault.match)))
			lnk_set_fault(links->list[i],
				      (enum lnk_fault)fault.kind);
	}
	return 0;
}

static void reset_counts(const struct links *links)
{
	for (size_t i = 0; i < links->count; i++) {
		pace_reset(&links->list[i]->paces[LNK_A_TO_B]);
		pace_reset(&links->list[i]->paces[LNK_B_TO_A]);
	}
}

static void on_request(void *ctx, struct httpsrv_req *req)
{
	const struct links *links = ctx;
	int err = 0;

	if (!strcmp(req->path, "/fake/fault"))
		err = set_fault(links, req);
	else if (!strcmp(req->path, "/fake/reset"))
		reset_counts(links);
	httpsrv_answer_json(req, err ? MHD_HTTP_BAD_REQUEST : MHD_HTTP_OK,
			    all_stats(links));
}

static const struct httpsrv_ops ops = {.request = on_request};

static int serve(struct str ip, uint16_t port, const struct arg_str *texts)
{
	static struct links links;
	struct evloop *loop;
	struct httpsrv *server;
	int err = evloop_create(&loop, clk_system());

	for (int i = 0; !err && i < texts->count; i++)
		err = lnk_open(&links.list[links.count++], loop,
			       texts->sval[i]);
	if (!err)
		err = httpsrv_start(&server, loop, ip, port, &ops, &links);
	if (err) {
		fprintf(stderr, "fake-link: %s\n", err_text(err));
		return CLI_EXIT_UNAVAILABLE;
	}
	evt_log(FAKE_READY, "program=fake-link address=%.*s port=%u",
		STR_ARG(ip), port);
	evloop_run(loop);
	return CLI_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct arg_str *address =
		arg_str0(NULL, "address", "IP", "control server");
	struct arg_int *port = arg_int0(NULL, "port", "N", "control server");
	struct arg_str *link = arg_strn(
		NULL, "link", "TEXT", 1, MAX_LINKS,
		"a=R,b=R,listen_a=IP:N,listen_b=IP:N,delay_us=N,mbps=N");
	struct cmdline cmd;
	void *table[3 + CMDLINE_ENTRIES] = {address, port, link};
	int status;

	cmdline_fill(&cmd, table + 3);
	status = cmdline_parse(&cmd, "fake-link",
			       "Simulates the links between regions.", argc,
			       argv, table);
	if (status >= 0)
		return status;
	return serve(
		str_from_c(address->count ? address->sval[0] : "127.0.0.1"),
		(uint16_t)(port->count ? port->ival[0] : DEFAULT_PORT), link);
}
