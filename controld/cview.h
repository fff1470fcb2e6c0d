/*
 * The table and VM list that pst-controld holds at present.
 *
 * The duty that follows the store publishes; the others read. Thread-safe.
 */
#ifndef CONTROLD_CVIEW_H
#define CONTROLD_CVIEW_H

#include "agent/ctl.h"

struct cview;

int cview_create(struct cview **out);
void cview_destroy(struct cview *cview);

/* Takes over the reference to view. */
void cview_publish(struct cview *cview, struct ctl_view *view);

/* Returns a new reference, or NULL before the first view. */
struct ctl_view *cview_get(struct cview *cview);

#endif
