/*
 * The current view (table and VM list) of pst-controld, published by the node
 * and read by the other services. Thread-safe.
 */
#ifndef CONTROLD_CURVIEW_H
#define CONTROLD_CURVIEW_H

#include "agent/ctl.h"

struct curview;

/* Returns 0 or PST_ERR_NOMEM. */
int curview_create(struct curview **out);
void curview_destroy(struct curview *curview);

/* Replaces the view; takes ownership of the reference. */
void curview_publish(struct curview *curview, struct ctl_view *view);

/* Returns a new reference, or NULL before the first view. */
struct ctl_view *curview_get(struct curview *curview);

#endif
