#include "pstctl/write.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sys/random.h>

#include "common/err.h"
#include "policy/head.h"
#include "policy/jsonread.h"
#include "policy/tbl_manifest.h"

/* Back-off before an attempt is retried. */
#define RETRY_WAIT CLK_MS(100)

/* Keys that one attempt has read. */
struct read_set {
	struct kvclient_list part;
	struct kvclient_list head;
	struct kvclient_list manifest;
};

static struct str value_of(const struct kvclient_list *list)
{
	return list->count ? list->items[0].value : STR_LIT("");
}

static uint64_t revision_of(const struct kvclient_list *list)
{
	return list->count ? list->items[0].mod_revision : 0;
}

static void read_set_free(struct read_set *read_set)
{
	kvclient_list_free(&read_set->part);
	kvclient_list_free(&read_set->head);
	kvclient_list_free(&read_set->manifest);
}

static int read_set_read(struct cmd *cmd, const char *key,
			 struct read_set *read_set)
{
	int err;

	memset(read_set, 0, sizeof(*read_set));
	err = kvclient_read_key(cmd->kvclient, str_from_c(key),
				&read_set->part);
	if (!err)
		err = kvclient_read_key(cmd->kvclient, STR_LIT(HEAD_KEY),
					&read_set->head);
	if (!err)
		err = kvclient_read_key(cmd->kvclient,
					STR_LIT(TBL_KEY_MANIFEST),
					&read_set->manifest);
	return err;
}

static char *record_text(const struct write_edit *edit, const json_t *cells)
{
	json_t *root = json_pack("{s:s, s:s, s:O}", "who", edit->who, "when",
				 edit->when, "cells", cells);
	char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}

static int check_manifest(struct str manifest, struct tbl_problem *problem)
{
	struct tbl_manifest *frame = NULL;
	const int err = tbl_manifest_parse(&frame, manifest, problem);

	if (!err)
		ref_put(&frame->ref);
	return err;
}

static int check_part(const struct edit_cell *cell,
		      const struct read_set *read_set, struct str part,
		      struct tbl_problem *problem)
{
	switch (cell->kind) {
	case EDIT_DRAIN:
		return 0;
	case EDIT_LINK:
		return check_manifest(part, problem);
	case EDIT_DEADLINE:
	case EDIT_RESERVED:
	case EDIT_SHIFT_CAP:
	case EDIT_WEIGHT:
	case EDIT_REGION_LIMIT:
		break;
	}
	return edit_check(value_of(&read_set->manifest),
			  strbuf_str(&cell->service), part, problem);
}

static json_t *json_cells(const struct edit *edit)
{
	const struct edit_cell *cell = &edit->cell;
	char key[EDIT_KEY_MAX];

	edit_cell_key(cell, key);
	return json_pack("[{s:s, s:s, s:s, s:s, s:s, s:s}]", "key", key,
			 "service", cell->service.ptr, "rank",
			 cell->service.len ? rank_name(cell->rank) : "-",
			 "cell", edit->label, "from", edit->initial_value, "to",
			 edit->wanted);
}

static int swap_part(struct cmd *cmd, struct edit *edit,
		     const struct write_edit *meta,
		     const struct read_set *read_set, struct str part,
		     uint64_t *revision)
{
	json_t *cells = json_cells(edit);
	char key[EDIT_KEY_MAX];
	struct kvclient_change change = {
		.expected = revision_of(&read_set->part),
		.value = part,
	};
	int err;

	edit_cell_key(&edit->cell, key);
	change.key = str_from_c(key);
	err = write_commit(cmd, meta, &read_set->head, &change, 1, cells,
			   revision);
	json_decref(cells);
	return err;
}

/* Makes one attempt; an invalid value is refused before anything is sent. */
static void attempt_swap(struct cmd *cmd, struct edit *edit,
			 const struct write_edit *meta, uint64_t value,
			 const struct read_set *read_set,
			 struct tbl_problem *problem)
{
	uint64_t revision = 0;
	struct str part = {0};
	int err = edit_cell_write(&edit->cell, value_of(&read_set->part), value,
				  &part);

	if (!err)
		err = check_part(&edit->cell, read_set, part, problem);
	if (err) {
		edit->step = EDIT_STEP_REFUSED;
		edit->err = err;
	} else {
		err = swap_part(cmd, edit, meta, read_set, part, &revision);
		edit_on_swap(edit, err, revision, clk_now(cmd->clk));
	}
	free((char *)part.ptr);
}

static void do_read(struct cmd *cmd, struct edit *edit,
		    struct read_set *read_set)
{
	char key[EDIT_KEY_MAX];
	int err;

	edit_cell_key(&edit->cell, key);
	read_set_free(read_set);
	err = read_set_read(cmd, key, read_set);
	edit_on_read(edit, err, value_of(&read_set->part), clk_now(cmd->clk));
	if (err)
		apr_sleep(RETRY_WAIT);
}

static void do_read_back(struct cmd *cmd, struct edit *edit,
			 const struct write_edit *meta)
{
	uint64_t revision = 0;
	bool found = false;
	const int err = write_find(cmd, meta, &found, &revision);

	edit_on_read_back(edit, err, found, revision, clk_now(cmd->clk));
	if (err)
		apr_sleep(RETRY_WAIT);
}

void write_begin(struct write_edit *edit, const char *who)
{
	const time_t now = time(NULL);
	uint64_t entropy[2] = {(uint64_t)apr_time_now(), 0};
	struct tm tm;

	if (getrandom(entropy, sizeof(entropy), 0) < 0)
		entropy[1] = (uint64_t)clk_now(clk_system());
	edit_id_make(edit->id, (uint64_t)now, entropy);
	gmtime_r(&now, &tm);
	strftime(edit->when, sizeof(edit->when), "%Y-%m-%dT%H:%M:%SZ", &tm);
	edit->who = who;
}

static void delete_expired(struct cmd *cmd, const struct kvclient_list *head)
{
	json_t *root = jsonread_parse(value_of(head));
	const char *when = json_string_value(json_object_get(root, "when"));
	char end[EDIT_KEY_MAX];

	if (when &&
	    edit_expired_end(end, (uint64_t)time(NULL), str_from_c(when)))
		kvclient_delete(cmd->kvclient, STR_LIT(EDIT_PREFIX),
				str_from_c(end));
	json_decref(root);
}

int write_commit(struct cmd *cmd, const struct write_edit *edit,
		 const struct kvclient_list *head,
		 const struct kvclient_change *changes, size_t count,
		 const json_t *cells, uint64_t *revision)
{
	const struct head_edit meta = {
		.id = str_from_c(edit->id),
		.who = str_from_c(edit->who),
		.when = str_from_c(edit->when),
	};
	struct kvclient_change *all = calloc(count + 2, sizeof(*all));
	struct str *keys = calloc(count + 1, sizeof(*keys));
	char *record = record_text(edit, cells);
	char record_key[EDIT_KEY_MAX];
	struct str next = {0};
	int err = all && keys && record ? 0 : PST_ERR_NOMEM;

	for (size_t i = 0; !err && i < count; i++) {
		all[i] = changes[i];
		keys[i] = changes[i].key;
	}
	if (!err)
		err = head_next(value_of(head), revision_of(head), &meta, keys,
				count, &next);
	if (!err) {
		snprintf(record_key, sizeof(record_key), EDIT_PREFIX "%s",
			 edit->id);
		all[count] = (struct kvclient_change){
			.key = STR_LIT(HEAD_KEY),
			.expected = revision_of(head),
			.value = next,
		};
		all[count + 1] = (struct kvclient_change){
			.key = str_from_c(record_key),
			.value = str_from_c(record),
		};
		err = kvclient_swap_all(cmd->kvclient, all, count + 2,
					revision);
	}
	if (!err)
		delete_expired(cmd, head);
	free((char *)next.ptr);
	free(record);
	free(keys);
	free(all);
	return err;
}

int write_find(struct cmd *cmd, const struct write_edit *edit, bool *found,
	       uint64_t *revision)
{
	char key[EDIT_KEY_MAX];
	struct kvclient_list list;
	int err;

	snprintf(key, sizeof(key), EDIT_PREFIX "%s", edit->id);
	err = kvclient_read_key(cmd->kvclient, str_from_c(key), &list);
	if (err)
		return err;
	*found = list.count;
	*revision = revision_of(&list);
	kvclient_list_free(&list);
	return 0;
}

void write_cell(struct cmd *cmd, struct edit *edit, uint64_t value,
		struct tbl_problem *problem)
{
	struct write_edit meta;
	struct read_set read_set = {0};

	write_begin(&meta, cmd->by);
	for (;;) {
		switch (edit->step) {
		case EDIT_STEP_READ:
			do_read(cmd, edit, &read_set);
			break;
		case EDIT_STEP_SWAP:
			attempt_swap(cmd, edit, &meta, value, &read_set,
				     problem);
			if (edit->step == EDIT_STEP_SWAP)
				apr_sleep(RETRY_WAIT);
			break;
		case EDIT_STEP_READ_BACK:
			do_read_back(cmd, edit, &meta);
			break;
		case EDIT_STEP_DONE:
		case EDIT_STEP_REFUSED:
		case EDIT_STEP_UNKNOWN:
			read_set_free(&read_set);
			return;
		}
	}
}
