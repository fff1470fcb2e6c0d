/* Log lines on the paces of upstreams. */
#ifndef STEERD_PACELOG_H
#define STEERD_PACELOG_H

#include "steerd/st.h"

/* Whether the settings ask for paces by responses. */
bool pacelog_is_on(const struct st *st);

/*
 * Logs that the upstream's pace was set, has stepped down or has ended since
 * the last line on it, but not more than once a second.
 */
void pacelog_update(const struct st *st, struct up *up);

#endif
