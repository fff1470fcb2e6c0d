/* Sets the libcurl options of an attempt, except for the callbacks. */
#ifndef ENTRYD_XFER_SETUP_H
#define ENTRYD_XFER_SETUP_H

#include "entryd/xfer.h"

/*
 * Sets the request, the endpoint and the time-outs. Only connections of the
 * same upstream and generation are reused. Returns 0 or PST_ERR_NOMEM.
 */
int xfer_set_up(struct xfer *x, unsigned generation);

#endif
