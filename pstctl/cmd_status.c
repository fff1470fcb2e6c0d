/* Commands that query the VMs: status and explain. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "agent/bodybuf.h"
#include "common/err.h"
#include "pstctl/fetch.h"
#include "pstctl/members.h"
#include "pstctl/poll.h"

#define CHECK_INTERVAL CLK_MS(5)

#define TEXT_MAX       512

/* Largest answer of one VM to explain, in bytes. */
#define MAX_ANSWER ((size_t)4 * 1024 * 1024)

static const char *state_name(const struct vm *vm)
{
	return vm->state == VM_LIVE ? "live" : "leaving";
}

static void print_upstream(const struct cmd *cmd, const struct vm *vm)
{
	if (cmd->json)
		printf("{\"vm\":\"%s\",\"kind\":\"upstream\",\"state\":\"%s\","
		       "\"domain\":\"%s\",\"service\":\"%s\",\"slots\":%u}\n",
		       vm->id.ptr, state_name(vm), vm->domain.ptr,
		       vm->service.ptr, vm->slots);
	else
		printf("%s upstream %s domain=%s service=%s slots=%u\n",
		       vm->id.ptr, state_name(vm), vm->domain.ptr,
		       vm->service.ptr, vm->slots);
}

static void print_entry(const struct cmd *cmd, const struct vm *vm,
			const struct poll_vm *p)
{
	const long long age =
		p->answered && p->confirmed_age_ms != TABLE_AGE_NEVER
			? (long long)p->confirmed_age_ms
			: -1;

	if (cmd->json)
		printf("{\"vm\":\"%s\",\"kind\":\"entry\",\"state\":\"%s\","
		       "\"domain\":\"%s\",\"answered\":%d,\"revision\":%llu,"
		       "\"in_force\":%llu,\"confirmed_age_ms\":%lld,"
		       "\"fresh\":%d,\"relay\":%d,\"store\":%d}\n",
		       vm->id.ptr, state_name(vm), vm->domain.ptr, p->answered,
		       (unsigned long long)p->revision,
		       (unsigned long long)p->in_force, age, p->fresh, p->relay,
		       p->store_reachable);
	else
		printf("%s entry %s domain=%s answered=%d revision=%llu "
		       "in_force=%llu confirmed_age_ms=%lld fresh=%d relay=%d "
		       "store=%d\n",
		       vm->id.ptr, state_name(vm), vm->domain.ptr, p->answered,
		       (unsigned long long)p->revision,
		       (unsigned long long)p->in_force, age, p->fresh, p->relay,
		       p->store_reachable);
}

int cmd_status(struct cmd *cmd)
{
	struct poll poll;
	size_t next = 0;
	const int err = poll_start(&poll, cmd, UINT64_MAX, false);

	if (err) {
		cmd_print_error("list of VMs", err);
		return cmd_exit_status(err);
	}
	while (!poll_done(&poll))
		apr_sleep(CHECK_INTERVAL);
	for (size_t i = 0; i < poll.list->count; i++) {
		const struct vm *vm = &poll.list->vms[i];

		if (vm->kind == VM_ENTRY)
			print_entry(cmd, vm, &poll.vms[next++]);
		else
			print_upstream(cmd, vm);
	}
	poll_stop(&poll);
	return CLI_EXIT_OK;
}

static int fetch(const struct cmd *cmd, const struct vm *vm, uint64_t port,
		 const char *id, struct bodybuf *out)
{
	char *escaped = curl_easy_escape(NULL, id, 0);
	char url[TEXT_MAX];
	char from[TEXT_MAX];

	snprintf(url, sizeof(url), "http://%s:%llu/explain?id=%s",
		 vm->address.ptr, (unsigned long long)port,
		 escaped ? escaped : "");
	curl_free(escaped);
	snprintf(from, sizeof(from), "host!%.*s",
		 STR_ARG(cmd->set->vm.address));
	return fetch_page(url, from, (long)cmd->set->platform.call_timeout_ms,
			  out);
}

struct lines {
	char **lines;
	size_t count;
};

static bool add_line(struct lines *lines, const char *vm, const char *line)
{
	char **grown =
		realloc(lines->lines, (lines->count + 1) * sizeof(*grown));

	if (!grown)
		return false;
	lines->lines = grown;
	if (asprintf(&grown[lines->count], "%s vm=%s", line, vm) < 0)
		return false;
	lines->count++;
	return true;
}

static void add_text(struct lines *lines, const char *vm, char *text)
{
	char *rest = NULL;

	for (char *line = strtok_r(text, "\n", &rest); line;
	     line = strtok_r(NULL, "\n", &rest)) {
		if (!add_line(lines, vm, line))
			return;
	}
}

static int compare_lines(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Lines begin with their time stamp, so sorting orders them by time. */
static void print_lines(struct lines *lines)
{
	if (lines->count)
		qsort(lines->lines, lines->count, sizeof(char *),
		      compare_lines);
	for (size_t i = 0; i < lines->count; i++) {
		printf("%s\n", lines->lines[i]);
		free(lines->lines[i]);
	}
	free(lines->lines);
}

static size_t query_vm(const struct cmd *cmd, const struct vm *vm,
		       const char *id, struct lines *lines)
{
	const uint64_t ports[] = {cmd->set->entry.admin_port,
				  cmd->set->control.admin_port,
				  cmd->set->lookup.admin_port};
	size_t silent = 0;

	for (size_t i = 0; i < sizeof(ports) / sizeof(*ports); i++) {
		struct bodybuf text = {.max = MAX_ANSWER};

		if (fetch(cmd, vm, ports[i], id, &text))
			silent++;
		else if (text.ptr)
			add_text(lines, vm->id.ptr, text.ptr);
		free(text.ptr);
	}
	return silent;
}

int cmd_explain(struct cmd *cmd, const char *id)
{
	struct lines lines = {0};
	struct vmlist *list = NULL;
	size_t silent = 0;
	size_t found;
	const int err = members_read(cmd, &list);

	if (err) {
		cmd_print_error("list of VMs", err);
		return cmd_exit_status(err);
	}
	for (size_t i = 0; i < list->count; i++) {
		if (list->vms[i].kind == VM_ENTRY)
			silent += query_vm(cmd, &list->vms[i], id, &lines);
	}
	vmlist_put(list);
	found = lines.count;
	print_lines(&lines);
	if (silent)
		fprintf(stderr, "pstctl: %zu processes did not answer\n",
			silent);
	return found ? CLI_EXIT_OK : CLI_EXIT_FAILED;
}
