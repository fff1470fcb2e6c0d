/* Sets a try's libcurl options, but for the callbacks. */
#ifndef ENTRYD_XFER_SETUP_H
#define ENTRYD_XFER_SETUP_H

#include "entryd/xfer.h"

/*
 * Sets request, place and time limits. generation tells apart the
 * connections of one upstream. Returns 0 or PST_ERR_NOMEM.
 */
int xfer_set_up(struct xfer *x, unsigned generation);

#endif
