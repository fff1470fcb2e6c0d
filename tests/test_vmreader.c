/* Tests that a VM list is not transferred again while it is unchanged. */
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include <check.h>
#include <microhttpd.h>

#include "agent/vmreader.h"
#include "common/net.h"
#include "tests/fix_run.h"

#define PORT   18411

#define FIRST  "{\"revision\":7,\"vms\":[" VM "]}"
#define SECOND "{\"revision\":8,\"vms\":[]}"
#define VM                                                           \
	"{\"id\":\"entry-1\",\"kind\":\"entry\",\"state\":\"live\"," \
	"\"region\":\"r0\",\"failure_domain\":\"r0-0\","             \
	"\"address\":\"127.0.0.9\"}"

/* The test server's list and ETag; without an ETag it sends the whole list. */
static const char *text;
static const char *etag;
static atomic_uint bodies;

static struct MHD_Daemon *daemon_;
static struct settings set;
static struct vmreader *vmreader;

static enum MHD_Result handle(void *ctx, struct MHD_Connection *conn,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *size, void **state)
{
	const char *known = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
							"If-None-Match");
	const bool same = etag && known && !strcmp(known, etag);
	struct MHD_Response *response;
	enum MHD_Result result;

	(void)ctx, (void)url, (void)method, (void)version, (void)data;
	(void)size;
	if (!*state) {
		*state = &daemon_;
		return MHD_YES;
	}
	response = MHD_create_response_from_buffer(same ? 0 : strlen(text),
						   (void *)(uintptr_t)text,
						   MHD_RESPMEM_PERSISTENT);
	if (etag)
		MHD_add_response_header(response, "ETag", etag);
	bodies += !same;
	result = MHD_queue_response(
		conn, same ? MHD_HTTP_NOT_MODIFIED : MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	return result;
}

static void start(void)
{
	static char url[64];
	struct net_addr addr;

	net_addr_make(&addr, fix_ip(), PORT);
	daemon_ = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, PORT, NULL,
				   NULL, handle, NULL, MHD_OPTION_SOCK_ADDR,
				   &addr.ss, MHD_OPTION_END);
	ck_assert_ptr_nonnull(daemon_);
	snprintf(url, sizeof(url), "http://%s:%d/v1/vms", fix_ip().ptr, PORT);
	set.platform.list_url = str_from_c(url);
	set.platform.call_timeout_ms = 2000;
	set.vm.address = fix_ip();
	bodies = 0;
	ck_assert_int_eq(vmreader_create(&vmreader, &set), 0);
}

static void stop(void)
{
	vmreader_destroy(vmreader);
	MHD_stop_daemon(daemon_);
}

static void expect(uint64_t revision, size_t count, unsigned sent)
{
	struct vmlist *list = NULL;
	long status;

	ck_assert_int_eq(vmreader_fetch(vmreader, &list, &status), 0);
	ck_assert_uint_eq(list->revision, revision);
	ck_assert_uint_eq(list->count, count);
	ck_assert_uint_eq(bodies, sent);
	/* Changes that the caller makes must not appear in the next list. */
	list->revision = 0;
	vmlist_put(list);
}

START_TEST(an_unchanged_list_is_not_sent_again)
{
	text = FIRST;
	etag = "\"a\"";
	expect(7, 1, 1);
	expect(7, 1, 1);
	text = SECOND;
	etag = "\"b\"";
	expect(8, 0, 2);
	/* A platform restored from a backup sends the former list. */
	text = FIRST;
	etag = "\"a\"";
	expect(7, 1, 3);
	expect(7, 1, 3);
}
END_TEST

START_TEST(without_an_etag_every_read_is_whole)
{
	text = FIRST;
	etag = NULL;
	expect(7, 1, 1);
	expect(7, 1, 2);
	etag = "\"a\"";
	expect(7, 1, 3);
	etag = NULL;
	text = SECOND;
	expect(8, 0, 4);
	expect(8, 0, 5);
}
END_TEST

START_TEST(a_malformed_list_is_not_kept)
{
	struct vmlist *list = NULL;
	long status;

	text = "{";
	etag = "\"a\"";
	ck_assert_int_ne(vmreader_fetch(vmreader, &list, &status), 0);
	text = FIRST;
	expect(7, 1, 2);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("lst");

	tcase_add_checked_fixture(tc, start, stop);
	tcase_add_test(tc, an_unchanged_list_is_not_sent_again);
	tcase_add_test(tc, without_an_etag_every_read_is_whole);
	tcase_add_test(tc, a_malformed_list_is_not_kept);
	return fix_run("lst", tc);
}
