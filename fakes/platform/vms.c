#include "fakes/platform/vms.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Changes at most that are not visible yet. */
#define MAX_WAITING 64

struct version {
	apr_time_t visible_at;
	json_t *root;
};

struct vms {
	struct evloop *loop;
	apr_interval_time_t lag;
	json_int_t revision;
	json_t *newest;
	json_t *visible;
	struct version waiting[MAX_WAITING];
	size_t count;
};

static void show_first(struct vms *vms)
{
	json_decref(vms->visible);
	vms->visible = vms->waiting[0].root;
	vms->count--;
	memmove(&vms->waiting[0], &vms->waiting[1],
		vms->count * sizeof(vms->waiting[0]));
}

static void show_due(struct vms *vms)
{
	while (vms->count &&
	       vms->waiting[0].visible_at <= evloop_now(vms->loop))
		show_first(vms);
}

int vms_create(struct vms **out, struct evloop *loop, apr_interval_time_t lag)
{
	struct vms *vms = calloc(1, sizeof(*vms));

	if (!vms)
		return PST_ERR_NOMEM;
	vms->loop = loop;
	vms->lag = lag;
	vms->newest = json_pack("{s:i,s:[]}", "revision", 0, "vms");
	vms->visible = json_incref(vms->newest);
	*out = vms;
	return 0;
}

void vms_set(struct vms *vms, json_t *root)
{
	json_object_set_new(root, "revision", json_integer(++vms->revision));
	json_decref(vms->newest);
	vms->newest = root;
	show_due(vms);
	if (vms->count == MAX_WAITING)
		show_first(vms);
	vms->waiting[vms->count++] = (struct version){
		.visible_at = evloop_now(vms->loop) + vms->lag,
		.root = json_incref(root),
	};
	show_due(vms);
}

int vms_mark(struct vms *vms, const char *id, const char *state)
{
	json_t *copy = json_deep_copy(vms->newest);
	json_t *vm;
	size_t i;

	json_array_foreach(json_object_get(copy, "vms"), i, vm)
	{
		const char *name = json_string_value(json_object_get(vm, "id"));

		if (!name || strcmp(name, id) != 0)
			continue;
		if (!strcmp(state, "gone"))
			json_array_remove(json_object_get(copy, "vms"), i);
		else
			json_object_set_new(vm, "state", json_string(state));
		vms_set(vms, copy);
		return 0;
	}
	json_decref(copy);
	return PST_ERR_NOTFOUND;
}

void vms_set_lag(struct vms *vms, apr_interval_time_t lag)
{
	vms->lag = lag;
}

json_t *vms_visible(struct vms *vms)
{
	show_due(vms);
	return json_incref(vms->visible);
}
