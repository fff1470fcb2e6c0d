#include "policy/lending_map.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

#define SEED_LINK   0x73687201
#define SEED_INTAKE 0x73687202

/* Every region but the receiving one owns a part. */
#define ANY_REGION UINT32_MAX

struct slot {
	uint64_t id;
	uint64_t limit;
	/* Regions of the link, or ANY_REGION and the receiving region. */
	uint32_t from;
	uint32_t to;
};

struct lending_map {
	struct ref ref;
	/*
	 * Hash table with open addressing, a power of two in size; a free slot
	 * has limit 0 and id 0.
	 */
	struct slot *slots;
	size_t slot_count;
	struct tbl_domain *domains;
	size_t domain_count;
	uint64_t digest;
};

uint64_t lending_link_id(struct str from, struct str to)
{
	return str_hash(to, str_hash(from, SEED_LINK)) | 1;
}

uint64_t lending_intake_id(struct str service, enum rank rank,
			   struct str region)
{
	return str_hash(region, str_hash(service, SEED_INTAKE + rank)) | 1;
}

static void release(struct ref *ref)
{
	struct lending_map *map = REF_CONTAINER(ref, struct lending_map, ref);

	free(map->slots);
	free(map->domains);
	free(map);
}

static size_t count_limits(const struct tbl *tbl)
{
	size_t count = tbl->link_count;

	for (size_t i = 0; i < tbl->service_count * RANK_COUNT; i++) {
		for (size_t j = 0; j < tbl->region_count; j++)
			count += tbl->rows[i].region_limits[j] != UINT32_MAX;
	}
	return count;
}

static struct slot *find(const struct lending_map *map, uint64_t id)
{
	size_t at = id >> 1;

	for (;; at++) {
		struct slot *slot = &map->slots[at & (map->slot_count - 1)];

		if (!slot->id || slot->id == id)
			return slot;
	}
}

static void add(struct lending_map *map, struct slot limit)
{
	*find(map, limit.id) = limit;
	map->digest += str_hash(
		(struct str){.ptr = (const char *)&limit, .len = sizeof(limit)},
		0);
}

static void add_intakes(struct lending_map *map, const struct tbl *tbl,
			const struct tbl_row *row)
{
	const struct str service = strbuf_str(&tbl->services[row->service]);

	for (uint32_t i = 0; i < tbl->region_count; i++) {
		const struct str region = strbuf_str(&tbl->regions[i].name);

		if (row->region_limits[i] == UINT32_MAX)
			continue;
		add(map,
		    (struct slot){
			    .id = lending_intake_id(service, row->rank, region),
			    .limit = row->region_limits[i],
			    .from = ANY_REGION,
			    .to = i,
		    });
	}
}

static void fill(struct lending_map *map, const struct tbl *tbl)
{
	for (size_t i = 0; i < tbl->link_count; i++) {
		const struct tbl_link *link = &tbl->links[i];
		const struct str from =
			strbuf_str(&tbl->regions[link->from].name);
		const struct str to = strbuf_str(&tbl->regions[link->to].name);

		add(map, (struct slot){
				 .id = lending_link_id(from, to),
				 .limit = link->bytes_per_s,
				 .from = link->from,
				 .to = link->to,
			 });
	}
	for (size_t i = 0; i < tbl->service_count * RANK_COUNT; i++)
		add_intakes(map, tbl, &tbl->rows[i]);
	for (size_t i = 0; i < tbl->domain_count; i++) {
		map->domains[i] = tbl->domains[i];
		map->digest = str_hash(strbuf_str(&tbl->domains[i].name),
				       map->digest + tbl->domains[i].region);
	}
}

int lending_map_build(struct lending_map **out, const struct tbl *tbl)
{
	struct lending_map *map = calloc(1, sizeof(*map));
	const size_t limits = count_limits(tbl);

	if (!map)
		return PST_ERR_NOMEM;
	ref_init(&map->ref, release);
	map->slot_count = 2;
	while (map->slot_count < 2 * limits)
		map->slot_count *= 2;
	map->slots = calloc(map->slot_count, sizeof(*map->slots));
	map->domains = calloc(tbl->domain_count + 1, sizeof(*map->domains));
	map->domain_count = tbl->domain_count;
	if (!map->slots || !map->domains) {
		lending_map_put(map);
		return PST_ERR_NOMEM;
	}
	fill(map, tbl);
	*out = map;
	return 0;
}

void lending_map_get(struct lending_map *map)
{
	ref_get(&map->ref);
}

void lending_map_put(struct lending_map *map)
{
	if (map)
		ref_put(&map->ref);
}

bool lending_map_same(const struct lending_map *a, const struct lending_map *b)
{
	return a->digest == b->digest && a->domain_count == b->domain_count &&
	       a->slot_count == b->slot_count;
}

uint64_t lending_map_limit(const struct lending_map *map, uint64_t id)
{
	const struct slot *slot = find(map, id);

	return slot->id ? slot->limit : UINT64_MAX;
}

static bool owns_part(const struct slot *slot, uint32_t region)
{
	if (slot->from == ANY_REGION)
		return region != slot->to;
	return region == slot->from || region == slot->to;
}

/* The first owners get the division's remainder, one unit each. */
static uint64_t part_of(uint64_t limit, uint64_t at, uint64_t count)
{
	const uint64_t each = limit / count;
	const uint64_t remainder = limit % count;

	return each + (at < remainder ? 1 : 0);
}

uint64_t lending_map_part(const struct lending_map *map, uint64_t id,
			  struct str domain)
{
	const struct slot *slot = find(map, id);
	uint64_t owners = 0;
	uint64_t at = 0;
	bool found = false;

	if (!slot->id)
		return 0;
	for (size_t i = 0; i < map->domain_count; i++) {
		if (!owns_part(slot, map->domains[i].region))
			continue;
		if (str_eq(strbuf_str(&map->domains[i].name), domain)) {
			at = owners;
			found = true;
		}
		owners++;
	}
	return found ? part_of(slot->limit, at, owners) : 0;
}

size_t lending_map_domain_count(const struct lending_map *map)
{
	return map->domain_count;
}

struct str lending_map_domain(const struct lending_map *map, size_t at)
{
	return strbuf_str(&map->domains[at].name);
}
