/* pst-lookupd: tells callers which entry VMs to use. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include <apr_general.h>

#include "common/admin.h"
#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "lookupd/lookupsrv.h"

#define LOG_MODULE "lookup"

/* Longest wait for look-ups in progress at a planned stop. */
#define STOP_TIMEOUT CLK_SEC(5)

struct parts {
	struct ctl_agent *ctl;
	struct admin *admin;
	struct lookupsrv *lookupsrv;
};

static int start_parts(struct parts *parts, const struct settings *set)
{
	int err = ctl_agent_start(&parts->ctl, set, clk_system());

	if (!err)
		err = admin_start(&parts->admin, set,
				  (uint16_t)set->lookup.admin_port);
	if (!err)
		err = lookupsrv_start(&parts->lookupsrv, set, clk_system(),
				      parts->ctl);
	return err;
}

static void stop_parts(struct parts *parts)
{
	lookupsrv_stop(parts->lookupsrv, STOP_TIMEOUT);
	admin_stop(parts->admin);
	if (parts->ctl)
		ctl_agent_stop(parts->ctl);
}

static void wait_for_signal(const sigset_t *signals)
{
	int number = 0;

	evt_log(PROCESS_READY, "program=pst-lookupd");
	sigwait(signals, &number);
	evt_log(PROCESS_STOP, "program=pst-lookupd reason=signal_%d", number);
}

static int run(const struct settings *set, const sigset_t *signals)
{
	struct parts parts = {0};
	apr_time_t begun;
	const int err = start_parts(&parts, set);

	if (err)
		fprintf(stderr, "pst-lookupd: %s: %s\n", err_name(err),
			err_text(err));
	else
		wait_for_signal(signals);
	begun = clk_now(clk_system());
	stop_parts(&parts);
	evt_log(PROCESS_EXIT, "program=pst-lookupd drain_ms=%ld",
		(long)((clk_now(clk_system()) - begun) / 1000));
	return err ? CLI_EXIT_FAILED : CLI_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct settings *set = NULL;
	sigset_t signals;
	int status;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (cli_start("pst-lookupd", "Tells callers which entry VMs to use.",
		      argc, argv, &set, &status) == CLI_DONE)
		return status;
	apr_initialize();
	evt_log(PROCESS_START, "program=pst-lookupd version=%s vm=%.*s",
		PST_VERSION, STR_ARG(set->vm.id));
	status = run(set, &signals);
	evt_done();
	apr_terminate();
	settings_free(set);
	return status;
}
