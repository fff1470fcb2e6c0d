/*
 * Counters and latency histograms, exported in Prometheus' text format.
 *
 * Counters and histograms are registered once, live until the process ends
 * and are updated without locks from any thread.
 */
#ifndef COMMON_CTR_H
#define COMMON_CTR_H

#include <stddef.h>
#include <stdint.h>

struct ctr;
struct hist;

/*
 * Returns the counter of this name and labels ("a=\"b\",c=\"d\"" or ""),
 * creating it on first use; never NULL (a shared fallback, which is not
 * exported, when memory runs out).
 */
struct ctr *ctr_get(const char *name, const char *labels, const char *help);
void ctr_add(struct ctr *ctr, uint64_t n);
/* Sets the value, for a series that is a gauge. */
void ctr_set(struct ctr *ctr, uint64_t value);
uint64_t ctr_value(const struct ctr *ctr);

/*
 * Like ctr_get(), for a histogram of microseconds with a relative error of at
 * most 1/16.
 */
struct hist *hist_get(const char *name, const char *labels, const char *help);
void hist_record(struct hist *hist, uint64_t us);
/* Upper bound of the quantile q (0 to 1), in microseconds; 0 when empty. */
uint64_t hist_quantile(const struct hist *hist, double q);

/*
 * Returns all series as text, owned by the caller (free()), or NULL when
 * memory runs out.
 */
char *ctr_render(size_t *len);

#endif
