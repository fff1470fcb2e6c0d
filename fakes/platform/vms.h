/* The platform's list of VMs, which shows changes only after a lag. */
#ifndef FAKES_PLATFORM_VMS_H
#define FAKES_PLATFORM_VMS_H

#include <jansson.h>

#include "fakes/loop.h"

struct vms;

/* Borrows loop. Returns 0 or PST_ERR_NOMEM. */
int vms_create(struct vms **out, struct evloop *loop, apr_interval_time_t lag);

/* Replaces the list; takes over root, {"vms":[...]}. */
void vms_set(struct vms *vms, json_t *root);

/* Changes the state of one VM. Returns 0 or PST_ERR_NOTFOUND. */
int vms_mark(struct vms *vms, const char *id, const char *state);

void vms_set_lag(struct vms *vms, apr_interval_time_t lag);

/* Returns a new reference to the list that readers see now. */
json_t *vms_visible(struct vms *vms);

#endif
