/* Commands that show, check and load a whole table. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/head.h"
#include "policy/jsonread.h"
#include "pstctl/accept.h"
#include "pstctl/write.h"

/* Services written by one swap while loading. */
#define LOAD_BATCH 100

/* Attempts of one swap while loading. */
#define LOAD_ATTEMPTS 5

static void print_row(const struct tbl *tbl, const struct tbl_row *row)
{
	printf("%s %s deadline_ms=%u reserved_pct=%u shift_cap_pct_per_s=%u",
	       tbl->services[row->service].ptr, rank_name(row->rank),
	       row->deadline_ms, row->reserved_pct, row->shift_cap_pct_per_s);
	for (size_t d = 0; d < tbl->domain_count; d++)
		printf(" weight.%s=%u", tbl->domains[d].name.ptr,
		       row->weights[d]);
	for (size_t r = 0; r < tbl->region_count; r++) {
		if (row->region_limits[r] != UINT32_MAX)
			printf(" region_limit.%s=%u", tbl->regions[r].name.ptr,
			       row->region_limits[r]);
	}
	printf("\n");
}

static void print_links(const struct tbl *tbl)
{
	for (size_t i = 0; i < tbl->link_count; i++) {
		const struct tbl_link *link = &tbl->links[i];

		printf("- - link.%s.%s=%llu\n",
		       tbl->regions[link->from].name.ptr,
		       tbl->regions[link->to].name.ptr,
		       (unsigned long long)link->bytes_per_s * 8 / 1000000);
	}
}

static void print_table(const struct cmd *cmd, const struct tbl *tbl)
{
	printf("revision %llu\n", (unsigned long long)tbl->revision);
	if (!cmd->service)
		print_links(tbl);
	for (size_t s = 0; s < tbl->service_count; s++) {
		if (cmd->service &&
		    strcmp(cmd->service, tbl->services[s].ptr) != 0)
			continue;
		for (int rank = 0; rank < RANK_COUNT; rank++)
			print_row(tbl,
				  tbl_row(tbl, (uint32_t)s, (enum rank)rank));
	}
}

static void print_problem(const struct tbl_problem *problem)
{
	fprintf(stderr, "pstctl: refused: service %s, cell %s: %s\n",
		problem->service.len ? problem->service.ptr : "-",
		problem->cell.ptr, err_text(problem->err));
}

/* Returns an array owned by the caller, whose parts borrow from list. */
static struct tbl_part *parts_of(const struct kvclient_list *list,
				 uint64_t *newest)
{
	struct tbl_part *parts = calloc(list->count + 1, sizeof(*parts));

	*newest = 0;
	for (size_t i = 0; parts && i < list->count; i++) {
		parts[i] = (struct tbl_part){
			.key = list->items[i].key,
			.mod_revision = list->items[i].mod_revision,
			.value = list->items[i].value,
		};
		if (parts[i].mod_revision > *newest)
			*newest = parts[i].mod_revision;
	}
	return parts;
}

static void print_json(const struct kvclient_list *list, uint64_t newest)
{
	const struct str prefix = STR_LIT(TBL_PREFIX_SERVICE);
	json_t *services = json_object();
	json_t *root = json_pack("{s:I, s:o}", "revision", (json_int_t)newest,
				 "services", services);
	char *text;

	for (size_t i = 0; i < list->count; i++) {
		const struct kvclient_item *item = &list->items[i];
		json_t *value = jsonread_parse(item->value);

		if (str_eq(item->key, STR_LIT(TBL_KEY_MANIFEST)))
			json_object_set(root, "manifest", value);
		else if (item->key.len > prefix.len &&
			 !memcmp(item->key.ptr, prefix.ptr, prefix.len))
			json_object_set(services, item->key.ptr + prefix.len,
					value);
		json_decref(value);
	}
	text = json_dumps(root, JSON_INDENT(1));
	printf("%s\n", text ? text : "");
	free(text);
	json_decref(root);
}

int cmd_table_show(struct cmd *cmd)
{
	struct tbl_problem problem = {0};
	struct tbl *tbl = NULL;
	struct tbl_part *parts;
	struct kvclient_list list;
	uint64_t newest;
	int err = kvclient_read(cmd->kvclient, STR_LIT(TBL_PREFIX), &list);

	if (err) {
		cmd_print_error("store", err);
		return cmd_exit_status(err);
	}
	parts = parts_of(&list, &newest);
	err = parts ? tbl_parse(&tbl, parts, list.count, newest, &problem)
		    : PST_ERR_NOMEM;
	if (err)
		print_problem(&problem);
	else if (cmd->json)
		print_json(&list, newest);
	else
		print_table(cmd, tbl);
	tbl_put(tbl);
	free(parts);
	kvclient_list_free(&list);
	return err ? CLI_EXIT_FAILED : CLI_EXIT_OK;
}

/* A table file split into parts; owns their keys and values. */
struct file_parts {
	struct tbl_part *parts;
	size_t count;
};

static void file_free(struct file_parts *file)
{
	for (size_t i = 0; i < file->count; i++) {
		free((char *)file->parts[i].key.ptr);
		free((char *)file->parts[i].value.ptr);
	}
	free(file->parts);
}

static bool add_part(struct file_parts *file, const char *prefix,
		     const char *name, const json_t *value)
{
	struct tbl_part *part = &file->parts[file->count];
	char *text = json_dumps(value, JSON_COMPACT);
	char *key = NULL;

	if (!text || asprintf(&key, "%s%s", prefix, name) < 0) {
		free(text);
		return false;
	}
	part->key = str_from_c(key);
	part->value = str_from_c(text);
	file->count++;
	return true;
}

static int parts_of_json(const json_t *root, struct file_parts *file)
{
	const json_t *manifest = json_object_get(root, "manifest");
	json_t *services = json_object_get(root, "services");
	const char *name;
	json_t *value;
	bool complete;

	file->parts =
		calloc(json_object_size(services) + 1, sizeof(*file->parts));
	if (!file->parts)
		return PST_ERR_NOMEM;
	complete = manifest && add_part(file, TBL_KEY_MANIFEST, "", manifest);
	json_object_foreach(services, name, value) complete =
		complete && jsonread_name_valid(str_from_c(name)) &&
		add_part(file, TBL_PREFIX_SERVICE, name, value);
	return complete ? 0 : PST_ERR_INVALID;
}

static int read_file(const char *path, struct file_parts *file)
{
	json_error_t where;
	struct tbl_problem problem = {0};
	struct tbl *tbl = NULL;
	json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &where);
	int err;

	if (!root) {
		fprintf(stderr, "pstctl: %s:%d: %s\n", path, where.line,
			where.text);
		return PST_ERR_INVALID;
	}
	err = parts_of_json(root, file);
	json_decref(root);
	if (err) {
		fprintf(stderr,
			"pstctl: %s: refused: needs a manifest and "
			"services\n",
			path);
		return err;
	}
	err = tbl_parse(&tbl, file->parts, file->count, 1, &problem);
	if (err)
		print_problem(&problem);
	tbl_put(tbl);
	return err;
}

int cmd_table_check(struct cmd *cmd, const char *path)
{
	struct file_parts file = {0};
	const int err = read_file(path, &file);

	(void)cmd;
	if (!err)
		printf("%s: ok\n", path);
	file_free(&file);
	return err ? CLI_EXIT_FAILED : CLI_EXIT_OK;
}

static uint64_t stored_revision(const struct kvclient_list *table,
				struct str key)
{
	for (size_t i = 0; i < table->count; i++) {
		if (str_eq(table->items[i].key, key))
			return table->items[i].mod_revision;
	}
	return 0;
}

/* A load: one edit made of several swaps, each with its own record. */
struct load {
	const char *path;
	/* The first swap's id. */
	char id[EDIT_ID_SIZE];
	size_t batch;
	size_t batches;
};

static json_t *cells_of(const struct load *load)
{
	return json_pack("[{s:s, s:s, s:s, s:s, s:I, s:I}]", "cell", "load",
			 "from", "-", "to", load->path, "load", load->id,
			 "batch", (json_int_t)load->batch, "batches",
			 (json_int_t)load->batches);
}

static int attempt_batch(struct cmd *cmd, const struct write_edit *edit,
			 const struct tbl_part *parts, size_t count,
			 const struct load *load, uint64_t *revision)
{
	struct kvclient_change *changes = calloc(count, sizeof(*changes));
	json_t *cells = cells_of(load);
	struct kvclient_list table = {0};
	struct kvclient_list head = {0};
	int err = changes && cells ? 0 : PST_ERR_NOMEM;

	if (!err)
		err = kvclient_read(cmd->kvclient, STR_LIT(TBL_PREFIX), &table);
	if (!err)
		err = kvclient_read_key(cmd->kvclient, STR_LIT(HEAD_KEY),
					&head);
	for (size_t i = 0; !err && i < count; i++)
		changes[i] = (struct kvclient_change){
			.key = parts[i].key,
			.expected = stored_revision(&table, parts[i].key),
			.value = parts[i].value,
		};
	if (!err)
		err = write_commit(cmd, edit, &head, changes, count, cells,
				   revision);
	kvclient_list_free(&head);
	kvclient_list_free(&table);
	json_decref(cells);
	free(changes);
	return err;
}

/* After an error, retries unless the store has the record: a lost reply. */
static int write_batch_retrying(struct cmd *cmd, const struct tbl_part *parts,
				size_t count, struct load *load,
				uint64_t *revision)
{
	struct write_edit edit;
	int err = PST_ERR_UNAVAILABLE;

	write_begin(&edit, cmd->by);
	if (!load->batch++)
		memcpy(load->id, edit.id, sizeof(edit.id));
	for (int i = 0; i < LOAD_ATTEMPTS; i++) {
		bool found = false;

		err = attempt_batch(cmd, &edit, parts, count, load, revision);
		if (!err)
			return 0;
		if (!write_find(cmd, &edit, &found, revision) && found)
			return 0;
	}
	return err;
}

/* Writes the services before the manifest, which puts them into effect. */
static int write_file(struct cmd *cmd, const struct file_parts *file,
		      const char *path, uint64_t *revision)
{
	struct load load = {
		.path = path,
		.batches = 1 + (file->count - 1 + LOAD_BATCH - 1) / LOAD_BATCH,
	};
	int err = 0;

	for (size_t i = 1; !err && i < file->count; i += LOAD_BATCH) {
		const size_t left = file->count - i;
		const size_t count = left < LOAD_BATCH ? left : LOAD_BATCH;

		err = write_batch_retrying(cmd, &file->parts[i], count, &load,
					   revision);
	}
	if (!err)
		err = write_batch_retrying(cmd, &file->parts[0], 1, &load,
					   revision);
	return err;
}

/* Checks whether the file's manifest may replace the one in the store. */
static int check_change(struct cmd *cmd, const struct file_parts *file,
			bool *first)
{
	struct tbl_problem problem = {0};
	struct kvclient_list list;
	int err = kvclient_read_key(cmd->kvclient, STR_LIT(TBL_KEY_MANIFEST),
				    &list);

	if (err) {
		cmd_print_error("store", err);
		return cmd_exit_status(err);
	}
	*first = !list.count;
	err = edit_check_manifest(*first ? STR_LIT("") : list.items[0].value,
				  file->parts[0].value, &problem);
	kvclient_list_free(&list);
	if (!err)
		return CLI_EXIT_OK;
	print_problem(&problem);
	return CLI_EXIT_FAILED;
}

/* Doesn't wait for VMs after the first table: none holds an older one. */
static int load(struct cmd *cmd, const struct file_parts *file,
		const char *path)
{
	const apr_time_t began = clk_now(cmd->clk);
	uint64_t revision = 0;
	bool first = true;
	const int status = check_change(cmd, file, &first);
	int err;

	if (status)
		return status;
	err = write_file(cmd, file, path, &revision);
	if (err) {
		cmd_print_error("the table is written in part or not at all",
				err);
		return cmd_exit_status(err);
	}
	if (!first)
		return cmd_report_edit(cmd, revision, began);
	printf("revision=%llu\n", (unsigned long long)revision);
	return CLI_EXIT_OK;
}

int cmd_table_load(struct cmd *cmd, const char *path)
{
	struct file_parts file = {0};
	const int err = read_file(path, &file);
	const int status = err ? CLI_EXIT_FAILED : load(cmd, &file, path);

	file_free(&file);
	return status;
}
