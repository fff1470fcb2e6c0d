/*
 * Reference counts.
 *
 * Embed a struct ref in an object; the creator holds the first reference.
 * The release function runs once, on the thread that drops the last reference.
 */
#ifndef COMMON_REF_H
#define COMMON_REF_H

#include <stdint.h>

struct ref {
	uint32_t count;
	void (*release)(struct ref *ref);
};

/* Starts at one reference. */
void ref_init(struct ref *ref, void (*release)(struct ref *ref));
void ref_get(struct ref *ref);
void ref_put(struct ref *ref);

#define REF_CONTAINER(refp, type, member) \
	((type *)(void *)((char *)(refp)-offsetof(type, member)))

#endif
