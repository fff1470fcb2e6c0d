#include "policy/registry_words.h"

bool registry_same_addr(const struct sockaddr_in *a,
			const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

void registry_words_add(struct registry *registry, const struct up *up)
{
	if (!up->born_ms || (!up->leaving && !up->quiet_until))
		return;
	registry->words[registry->next_words++ % REGISTRY_WORDS] =
		(struct registry_words){
			.hash = up->hash,
			.addr = up->addr,
			.born_ms = up->born_ms,
			.leaving = up->leaving,
			.quiet_until = up->quiet_until,
		};
}

static bool is_of(const struct registry_words *words, uint64_t hash,
		  const struct sockaddr_in *addr, int64_t born_ms)
{
	return words->born_ms && words->born_ms == born_ms &&
	       words->hash == hash && registry_same_addr(&words->addr, addr);
}

void registry_words_apply(const struct registry *registry, struct up *up)
{
	for (unsigned i = 0; i < REGISTRY_WORDS && i < registry->next_words;
	     i++) {
		const struct registry_words *words = &registry->words[i];

		if (!is_of(words, up->hash, &up->addr, up->born_ms))
			continue;
		up->leaving = up->leaving || words->leaving;
		if (words->quiet_until > up->quiet_until)
			up->quiet_until = words->quiet_until;
	}
}

void registry_words_note_removed(struct registry *registry, const struct up *up)
{
	registry->removed[registry->next_removed++ % REGISTRY_WORDS] =
		(struct registry_removed){
			.hash = up->hash,
			.addr = up->addr,
			.born_ms = up->born_ms,
			.seq = up->seq,
		};
}

bool registry_words_removed(const struct registry *registry,
			    const struct registry_entry *entry)
{
	const uint64_t hash = str_hash(entry->id, 0);

	for (unsigned i = 0; i < REGISTRY_WORDS && i < registry->next_removed;
	     i++) {
		const struct registry_removed *removed = &registry->removed[i];

		if (removed->born_ms && removed->born_ms == entry->born_ms &&
		    removed->hash == hash &&
		    registry_same_addr(&removed->addr, &entry->addr) &&
		    entry->seq <= removed->seq)
			return true;
	}
	return false;
}
