/* Commands that edit the table, and the history of edits. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsonread.h"
#include "pstctl/accept.h"
#include "pstctl/write.h"

/* Time after which a write is no longer retried. */
#define RETRY_TIMEOUT CLK_SEC(10)

#define US_PER_MS     1000

static long long in_ms(apr_interval_time_t time)
{
	return time < 0 ? -1 : (long long)time / US_PER_MS;
}

static void print_json(uint64_t revision, const struct accept_result *r)
{
	printf("{\"revision\":%llu,\"accepted\":%s,\"accepted_ms\":%lld,"
	       "\"whole_ms\":%lld,\"vms\":%zu,\"vms_holding\":%zu,"
	       "\"domains\":%zu,\"domains_whole\":%zu,\"silent\":\"%s\"}\n",
	       (unsigned long long)revision, r->accepted ? "true" : "false",
	       in_ms(r->accepted_after), in_ms(r->confirmed_after), r->vms,
	       r->vms_holding, r->domains, r->domains_whole, r->silent);
}

static void print_result(const struct cmd *cmd, uint64_t revision,
			 const struct accept_result *r)
{
	if (cmd->json) {
		print_json(revision, r);
		return;
	}
	printf("revision=%llu accepted=%s accepted_ms=%lld whole_ms=%lld "
	       "vms=%zu vms_holding=%zu domains=%zu domains_whole=%zu "
	       "silent=%s\n",
	       (unsigned long long)revision, r->accepted ? "yes" : "no",
	       in_ms(r->accepted_after), in_ms(r->confirmed_after), r->vms,
	       r->vms_holding, r->domains, r->domains_whole, r->silent);
}

static int print_refusal(const struct edit *edit,
			 const struct tbl_problem *problem)
{
	const char *service = edit->cell.service.ptr;
	const char *rank = rank_name(edit->cell.rank);

	switch (edit->err) {
	case PST_ERR_CONFLICT:
		fprintf(stderr,
			"pstctl: %s %s %s: was %s, another operator set it to "
			"%s, you wanted %s; nothing was written\n",
			service, rank, edit->label, edit->initial_value,
			edit->conflicting_value, edit->wanted);
		return CLI_EXIT_FAILED;
	case PST_ERR_INVALID:
		fprintf(stderr,
			"pstctl: refused: row %s %s, cell %s: %s is not "
			"allowed there (%s)\n",
			service, rank, edit->label, edit->wanted,
			problem->cell.ptr);
		return CLI_EXIT_FAILED;
	case PST_ERR_NOTFOUND:
		fprintf(stderr, "pstctl: refused: no row %s %s with cell %s\n",
			service, rank, edit->label);
		return CLI_EXIT_FAILED;
	default:
		cmd_print_error("not written", edit->err);
		return cmd_exit_status(edit->err);
	}
}

static int run_edit(struct cmd *cmd, const struct edit_cell *cell,
		    const char *label, const char *text, uint64_t value)
{
	const apr_time_t began = clk_now(cmd->clk);
	struct tbl_problem problem = {0};
	struct edit edit;

	edit_begin(&edit, cell, label, text, began + RETRY_TIMEOUT);
	write_cell(cmd, &edit, value, &problem);
	if (edit.step == EDIT_STEP_REFUSED)
		return print_refusal(&edit, &problem);
	if (edit.step == EDIT_STEP_UNKNOWN) {
		cmd_print_error("it is not known whether the edit was written; "
				"look at pstctl history",
				edit.err);
		return CLI_EXIT_UNAVAILABLE;
	}
	return cmd_report_edit(cmd, edit.revision, began);
}

int cmd_report_edit(struct cmd *cmd, uint64_t revision, apr_time_t began)
{
	struct accept_result result;
	const int err = accept_wait(cmd, revision, began, &result);

	if (err) {
		printf("revision=%llu accepted=unknown\n",
		       (unsigned long long)revision);
		cmd_print_error("the write took effect, but the VMs' state is "
				"not known",
				err);
		return CLI_EXIT_UNAVAILABLE;
	}
	print_result(cmd, revision, &result);
	if (result.accepted && !(cmd->wait && result.confirmed_after < 0))
		return CLI_EXIT_OK;
	fprintf(stderr, "pstctl: %s: %s\n",
		result.accepted ? "accepted, but not confirmed by"
				: "written, but not accepted; not confirmed by",
		result.silent);
	return CLI_EXIT_FAILED;
}

int cmd_table_set(struct cmd *cmd, const char *service, const char *rank,
		  const char *cell, const char *value)
{
	struct edit_cell parsed;
	uint64_t number;

	if (edit_cell_parse(str_from_c(service), str_from_c(rank),
			    str_from_c(cell), &parsed)) {
		fprintf(stderr,
			"pstctl: refused: row %s %s, cell %s: no such "
			"cell\n",
			service, rank, cell);
		return CLI_EXIT_FAILED;
	}
	if (str_to_u64(str_from_c(value), &number)) {
		fprintf(stderr,
			"pstctl: refused: row %s %s, cell %s: %s is "
			"not a whole number\n",
			service, rank, cell, value);
		return CLI_EXIT_FAILED;
	}
	return run_edit(cmd, &parsed, cell, value, number);
}

int cmd_drain(struct cmd *cmd, const char *vm, bool drain)
{
	struct edit_cell cell;

	if (edit_cell_drain(str_from_c(vm), &cell)) {
		fprintf(stderr, "pstctl: refused: %s is not a valid VM name\n",
			vm);
		return CLI_EXIT_FAILED;
	}
	return run_edit(cmd, &cell, "drain", drain ? "1" : "0", drain);
}

static int compare_items(const void *a, const void *b)
{
	const struct kvclient_item *x = a;
	const struct kvclient_item *y = b;

	return (x->mod_revision > y->mod_revision) -
	       (x->mod_revision < y->mod_revision);
}

static const char *text_of(const json_t *object, const char *member)
{
	const char *text = json_string_value(json_object_get(object, member));

	return text ? text : "";
}

/* Returns the id of the table load that wrote cell, or NULL; borrowed. */
static const char *cell_load_id(const json_t *cell)
{
	return json_string_value(json_object_get(cell, "load"));
}

/* Returns a copy of the load id of the record's first cell, or NULL. */
static char *record_load_id(const struct kvclient_item *item)
{
	json_t *root = jsonread_parse(item->value);
	const json_t *cell = json_array_get(json_object_get(root, "cells"), 0);
	const char *id = cell_load_id(cell);
	char *copy = id ? strdup(id) : NULL;

	json_decref(root);
	return copy;
}

/*
 * Only the last swap of a table load is shown. The swaps of two operators'
 * loads may alternate, so each record is compared with all later ones.
 */
static bool *find_superseded(const struct kvclient_list *list)
{
	bool *superseded = calloc(list->count + 1, sizeof(*superseded));
	char **loads = calloc(list->count + 1, sizeof(*loads));

	for (size_t i = list->count; superseded && loads && i-- > 0;) {
		loads[i] = record_load_id(&list->items[i]);
		for (size_t j = i + 1; loads[i] && j < list->count; j++)
			superseded[i] |=
				loads[j] && !strcmp(loads[i], loads[j]);
	}
	for (size_t i = 0; loads && i < list->count; i++)
		free(loads[i]);
	free(loads);
	return superseded;
}

/* Prints how many swaps of a load were done when it ended early. */
static void print_progress(const json_t *cell)
{
	const json_int_t batch =
		json_integer_value(json_object_get(cell, "batch"));
	const json_int_t batches =
		json_integer_value(json_object_get(cell, "batches"));

	if (batch < batches)
		printf(" (%lld of %lld swaps)", (long long)batch,
		       (long long)batches);
}

static void print_record(const struct cmd *cmd,
			 const struct kvclient_item *item)
{
	json_t *root = jsonread_parse(item->value);
	size_t i;
	json_t *cell;

	if (cmd->json) {
		printf("{\"revision\":%llu,\"edit\":%.*s}\n",
		       (unsigned long long)item->mod_revision,
		       STR_ARG(item->value));
		json_decref(root);
		return;
	}
	json_array_foreach(json_object_get(root, "cells"), i, cell)
	{
		printf("%llu %s %s %s %s %s: %s -> %s",
		       (unsigned long long)item->mod_revision,
		       text_of(root, "when"), text_of(root, "who"),
		       text_of(cell, "service"), text_of(cell, "rank"),
		       text_of(cell, "cell"), text_of(cell, "from"),
		       text_of(cell, "to"));
		print_progress(cell);
		printf("\n");
	}
	json_decref(root);
}

int cmd_history(struct cmd *cmd)
{
	struct kvclient_list list;
	const int err =
		kvclient_read(cmd->kvclient, STR_LIT(EDIT_PREFIX), &list);
	bool *superseded;

	if (err) {
		cmd_print_error("store", err);
		return cmd_exit_status(err);
	}
	qsort(list.items, list.count, sizeof(*list.items), compare_items);
	superseded = find_superseded(&list);
	for (size_t i = 0; i < list.count; i++) {
		if (!superseded || !superseded[i])
			print_record(cmd, &list.items[i]);
	}
	free(superseded);
	kvclient_list_free(&list);
	return CLI_EXIT_OK;
}

void cmd_print_error(const char *what, int err)
{
	fprintf(stderr, "pstctl: %s: %s (%s)\n", what, err_text(err),
		err_name(err));
}

int cmd_exit_status(int err)
{
	switch (err) {
	case PST_ERR_UNAVAILABLE:
	case PST_ERR_TIMEOUT:
	case PST_ERR_CONNECT:
		return CLI_EXIT_UNAVAILABLE;
	case PST_ERR_NOMEM:
	case PST_ERR_THREAD:
		return CLI_EXIT_INTERNAL;
	default:
		return CLI_EXIT_FAILED;
	}
}
