#include "tests/fix_table.h"

#include <stdio.h>
#include <stdlib.h>

#include <check.h>
#include <jansson.h>

const char fix_manifest[] =
	"{\"regions\":[\"almaty\",\"astana\",\"aktobe\"],\"domains\":["
	"{\"name\":\"almaty-1\",\"region\":\"almaty\"},"
	"{\"name\":\"almaty-2\",\"region\":\"almaty\"},"
	"{\"name\":\"astana-1\",\"region\":\"astana\"},"
	"{\"name\":\"astana-2\",\"region\":\"astana\"},"
	"{\"name\":\"aktobe-1\",\"region\":\"aktobe\"},"
	"{\"name\":\"aktobe-2\",\"region\":\"aktobe\"}],"
	"\"links\":[{\"from\":\"almaty\",\"to\":\"astana\",\"mbps\":4000}],"
	"\"services\":[\"status\",\"booking\"]}";

#define ROW(rank, reserved)                                          \
	"{\"rank\":\"" rank                                          \
	"\",\"deadline_ms\":1000,\"reserved_pct\":" reserved         \
	",\"shift_cap_pct_per_s\":10,\"weights\":{\"almaty-1\":100," \
	"\"astana-1\":50},\"region_limits\":{\"almaty\":200}}"

const char fix_service[] = "{\"rows\":[" ROW("urgent", "50") "," ROW(
	"normal", "30") "," ROW("bulk", "10") "]}";

const struct tbl_part fix_parts[3] = {
	{.key = STR_LIT(TBL_KEY_MANIFEST),
	 .mod_revision = 3,
	 .value = {.ptr = fix_manifest, .len = sizeof(fix_manifest) - 1}},
	{.key = STR_LIT(TBL_PREFIX_SERVICE "status"),
	 .mod_revision = 4,
	 .value = {.ptr = fix_service, .len = sizeof(fix_service) - 1}},
	{.key = STR_LIT(TBL_PREFIX_SERVICE "booking"),
	 .mod_revision = 5,
	 .value = {.ptr = fix_service, .len = sizeof(fix_service) - 1}},
};

char *fix_vm_list(int per_domain)
{
	static const char *const regions[] = {"almaty", "astana", "aktobe"};
	json_t *vms = json_array();
	json_t *root = json_pack("{s:i, s:o}", "revision", 7, "vms", vms);
	char *text;
	int next = 1;

	for (int d = 0; d < 6; d++) {
		for (int k = 0; k < per_domain; k++, next++) {
			char id[32];
			char domain[32];
			char ip[32];

			snprintf(id, sizeof(id), "entry-%d", next);
			snprintf(domain, sizeof(domain), "%s-%d",
				 regions[d / 2], d % 2 + 1);
			snprintf(ip, sizeof(ip), "127.1.%d.%d", next / 250,
				 next % 250 + 1);
			json_array_append_new(
				vms, json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}",
					       "id", id, "kind", "entry",
					       "state", "live", "region",
					       regions[d / 2], "failure_domain",
					       domain, "address", ip));
		}
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

struct vmlist *fix_vms(int per_domain)
{
	char *text = fix_vm_list(per_domain);
	struct vmlist *vmlist = NULL;

	ck_assert_int_eq(vmlist_parse(&vmlist, str_from_c(text)), 0);
	free(text);
	return vmlist;
}
