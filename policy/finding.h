/*
 * What a check of a manifest found: messages with the place that they concern.
 * No message holds a key.
 */
#ifndef POLICY_FINDING_H
#define POLICY_FINDING_H

#include <stdbool.h>
#include <stddef.h>

enum finding_severity {
	/* A difference from another version, without a fault. */
	FINDING_CHANGE,
	FINDING_WARNING,
	/* The manifest is refused. */
	FINDING_ERROR,
};

enum finding_part {
	FINDING_MANIFEST,
	FINDING_VERSION,
	FINDING_LIMITS,
	FINDING_SERVICES,
	FINDING_ROUTES,
	FINDING_TENANTS,
};

/* Fields of the parts; platform/plt_names.h has their names. */
enum finding_field {
	FIELD_ENTRY,
	FIELD_NAME,
	FIELD_HOST,
	FIELD_PREFIX,
	FIELD_KIND,
	FIELD_TIMEOUT,
	FIELD_TARGET_LATENCY,
	FIELD_RANK,
	FIELD_BACKENDS,
	FIELD_SERVICE,
	FIELD_MAX_ATTEMPTS,
	FIELD_STICKY,
	FIELD_PUBLIC,
	FIELD_HOMES,
	FIELD_HEALTH_PATH,
	FIELD_MAX_CONNS,
	FIELD_COLD_FOR,
	FIELD_COLD_PER_S,
	FIELD_KEYS,
	FIELD_RATE,
	FIELD_BURST,
	FIELD_MAX_HEADER,
	FIELD_MAX_BODY,
	FIELD_HEADER_TIMEOUT,
	FIELD_IDLE_TIMEOUT,
	FIELD_COUNT,
};

struct finding_place {
	enum finding_part part;
	enum finding_field field;
	/* Index of the entry, and of the item in its field; -1: none. */
	long row;
	long item;
	/* The place is in the manifest that this one is compared with. */
	bool other;
};

struct finding {
	enum finding_severity severity;
	struct finding_place place;
	/* Name of the kind of finding, for programs. */
	const char *code;
	char *text;
};

/* Zeroed memory is an empty list. */
struct findings {
	struct finding *list;
	size_t count;
	size_t room;
	/* A finding was lost, since there was no memory. */
	bool incomplete;
};

/* The place of an entry's field; FIELD_ENTRY: all of it. */
struct finding_place finding_at(enum finding_part part, size_t row,
				enum finding_field field);

void findings_add(struct findings *findings, enum finding_severity severity,
		  struct finding_place place, const char *code, const char *fmt,
		  ...) __attribute__((format(printf, 5, 6)));

void findings_free(struct findings *findings);

#endif
