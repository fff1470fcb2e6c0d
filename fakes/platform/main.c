/* fake-platform: the platform's key-value store and VM list, in memory. */
#include <stdio.h>

#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "fakes/cmd.h"
#include "fakes/platform/calls.h"

#define LOG_MODULE     "fake-platform"

#define DEFAULT_PORT   2379
#define DEFAULT_LAG_MS 1000

static int serve(struct str ip, uint16_t port, apr_interval_time_t lag)
{
	struct evloop *loop;
	struct gateway *gateway;
	int err = evloop_create(&loop, clk_system());

	if (!err)
		err = gateway_start(&gateway, loop, ip, port, lag);
	if (err) {
		fprintf(stderr, "fake-platform: %s\n", err_text(err));
		return CLI_EXIT_UNAVAILABLE;
	}
	evt_log(FAKE_READY, "program=fake-platform address=%.*s port=%u",
		STR_ARG(ip), port);
	evloop_run(loop);
	return CLI_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct arg_str *address = arg_str0(NULL, "address", "IP", "listen on");
	struct arg_int *port = arg_int0(NULL, "port", "N", "listen on");
	struct arg_int *lag = arg_int0(NULL, "vms-lag-ms", "N",
				       "delay until a VM's change shows");
	struct cmdline cmd;
	void *table[3 + CMDLINE_ENTRIES] = {address, port, lag};
	int status;

	cmdline_fill(&cmd, table + 3);
	status =
		cmdline_parse(&cmd, "fake-platform",
			      "Stands in for the platform's store and VM list.",
			      argc, argv, table);
	if (status >= 0)
		return status;
	return serve(
		str_from_c(address->count ? address->sval[0] : "127.0.0.1"),
		(uint16_t)(port->count ? port->ival[0] : DEFAULT_PORT),
		CLK_MS(lag->count ? lag->ival[0] : DEFAULT_LAG_MS));
}
