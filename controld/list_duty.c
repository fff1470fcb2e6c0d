#include "controld/list_duty.h"

#include <stdlib.h>

#include "agent/duty.h"
#include "agent/lst.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "list"

/* Time between two checks for pauses, freshness and absent VMs. */
#define TICK_INTERVAL CLK_MS(100)

struct list_duty {
	const struct settings *set;
	struct node *node;
	struct lst *lst;
	struct duty reader;
	struct duty ticker;
	uint32_t failures;
};

static apr_interval_time_t run_reader(void *ctx)
{
	struct list_duty *duty = ctx;
	const apr_interval_time_t interval =
		CLK_MS(duty->set->platform.list_interval_ms);
	struct vmlist *list = NULL;
	long status;
	int err;

	if (!node_reads_platform(duty->node))
		return interval;
	err = lst_fetch(duty->lst, &list, &status);
	if (err) {
		if (!duty->failures)
			evt_log(LIST_LOST, "err=%s status=%ld", err_name(err),
				status);
		return duty_backoff(interval, duty->failures++,
				    CLK_MS(duty->set->table.backoff_max_ms));
	}
	if (duty->failures)
		evt_log(LIST_BACK, "revision=%llu",
			(unsigned long long)list->revision);
	duty->failures = 0;
	node_offer_list(duty->node, list);
	return interval;
}

static apr_interval_time_t run_ticker(void *ctx)
{
	struct list_duty *duty = ctx;

	node_tick(duty->node);
	return TICK_INTERVAL;
}

int list_duty_start(struct list_duty **out, const struct settings *set,
		    struct node *node)
{
	struct list_duty *duty = calloc(1, sizeof(*duty));
	int err;

	if (!duty)
		return PST_ERR_NOMEM;
	duty->set = set;
	duty->node = node;
	err = lst_create(&duty->lst, set);
	if (!err)
		err = duty_start(&duty->ticker, run_ticker, duty);
	if (!err)
		err = duty_start(&duty->reader, run_reader, duty);
	if (err)
		list_duty_stop(duty);
	else
		*out = duty;
	return err;
}

void list_duty_stop(struct list_duty *duty)
{
	if (!duty)
		return;
	duty_stop(&duty->reader);
	duty_stop(&duty->ticker);
	lst_destroy(duty->lst);
	free(duty);
}
