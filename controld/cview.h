/*
 * The current view (table and VM list) of pst-controld, published by the node
 * and read by the other services. Thread-safe.
 */
#ifndef CONTROLD_CVIEW_H
#define CONTROLD_CVIEW_H

#include "agent/ctl.h"

struct cview;

/* Returns 0 or PST_ERR_NOMEM. */
int cview_create(struct cview **out);
void cview_destroy(struct cview *cview);

/* Replaces the view; takes ownership of the reference. */
void cview_publish(struct cview *cview, struct ctl_view *view);

/* Returns a new reference, or NULL before the first view. */
struct ctl_view *cview_get(struct cview *cview);

#endif
