/* What upstreams have asked for, as metrics. */
#ifndef STEERD_UPSTATS_H
#define STEERD_UPSTATS_H

#include "steerd/st.h"

/*
 * Appends the gauges of upstreams that leave and that are quiet, by service of
 * the manifest, in Prometheus' text format. Returns 0 or an error. Services are
 * left out whose name has other characters than letters, digits, '.', '-' and
 * '_'.
 */
int upstats_put_gauges(const struct st *st, struct buf *out);

/* Counts a request that was not sent to an upstream that it was meant for. */
void upstats_count_kept_away(const struct up *up);

#endif
