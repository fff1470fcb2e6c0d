#include "policy/orca.h"

#include <jansson.h>

#include "common/err.h"

int orca_parse(struct str json, struct load_report *out)
{
	json_t *root = json_loadb(json.ptr, json.len, 0, NULL);
	const json_t *named = json_object_get(root, "named_metrics");
	const double load = json_number_value(
		json_object_get(root, "application_utilization"));

	if (!json_is_object(root)) {
		json_decref(root);
		return PST_ERR_INVALID;
	}
	*out = (struct load_report){
		.draining = json_number_value(
				    json_object_get(named, "draining")) > 0,
		.cold = json_number_value(json_object_get(named, "cold")) > 0,
	};
	if (load > 0)
		out->load_permille =
			load < 1000 ? (unsigned)(load * 1000) : 1000000;
	json_decref(root);
	return 0;
}
