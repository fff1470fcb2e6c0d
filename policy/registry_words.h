/*
 * What incarnations of upstreams said of themselves before they were dropped,
 * since their entries may lapse and come back. Part of policy/registry; pure.
 */
#ifndef POLICY_REGISTRY_WORDS_H
#define POLICY_REGISTRY_WORDS_H

#include "policy/registry.h"

bool registry_same_addr(const struct sockaddr_in *a,
			const struct sockaddr_in *b);

/* Remembers the words of an upstream that is dropped. */
void registry_words_add(struct registry *registry, const struct up *up);

/* Gives an upstream that is listed again the words of its incarnation. */
void registry_words_apply(const struct registry *registry, struct up *up);

/* Remembers that the entry of an upstream was removed. */
void registry_words_note_removed(struct registry *registry,
				 const struct up *up);

/* Whether the upstream of this entry was removed after it was written. */
bool registry_words_removed(const struct registry *registry,
			    const struct registry_entry *entry);

#endif
