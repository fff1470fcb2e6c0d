#include "policy/entrymap.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Hash seeds, one for each kind of key. */
#define SEED_BLOCK   0x6c6b7001
#define SEED_VM	     0x6c6b7002
#define SEED_DOMAIN  0x6c6b7003
#define SEED_SERVICE 0x6c6b7004

#define NO_VM	     UINT32_MAX

/* Longest JSON object of one VM, in bytes, with the final NUL. */
#define VM_JSON_MAX 384

/* Offset of the VM's name within its JSON object. */
#define ID_OFFSET (sizeof("{\"vm\":\"") - 1)

struct entrymap_vm {
	uint64_t hash;
	uint32_t domain;
	uint32_t id_len;
	/* Position of the VM's JSON object within entrymap::text. */
	uint32_t text_offset;
	uint32_t text_len;
};

struct entrymap_domain {
	struct strbuf name;
	struct strbuf region;
	uint64_t hash;
	/* Range of the domain's VMs in entrymap::by_domain. */
	uint32_t first;
	uint32_t count;
	bool local;
};

struct entrymap {
	struct ref ref;
	struct entrymap_vm *vms;
	size_t vm_count;
	/* Indexes into vms, grouped by domain. */
	uint32_t *by_domain;
	struct entrymap_domain *domains;
	size_t domain_count;
	char *text;
	size_t text_len;
	uint32_t (*buckets)[ENTRYMAP_CHOICES];
	/* Open hash table of the services' names; a power of two in size. */
	struct strbuf *services;
	size_t service_slots;
	uint32_t ttl_ms;
};

/* Final mixing step of SplitMix64. */
static uint64_t mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9u;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebu;
	return x ^ (x >> 31);
}

static void release(struct ref *ref)
{
	struct entrymap *entrymap = REF_CONTAINER(ref, struct entrymap, ref);

	free(entrymap->vms);
	free(entrymap->by_domain);
	free(entrymap->domains);
	free(entrymap->text);
	free(entrymap->buckets);
	free(entrymap->services);
	free(entrymap);
}

/* Names are not escaped in JSON, so VMs whose names need that are left out. */
static bool is_plain(const struct strbuf *name)
{
	for (size_t i = 0; i < name->len; i++) {
		const unsigned char c = (unsigned char)name->ptr[i];

		if (c < ' ' || c == '"' || c == '\\')
			return false;
	}
	return true;
}

static bool is_live_entry(const struct vm *vm)
{
	return vm->kind == VM_ENTRY && vm->state == VM_LIVE && !vm->stopping &&
	       is_plain(&vm->id) && is_plain(&vm->region) &&
	       is_plain(&vm->domain) && is_plain(&vm->address);
}

static uint32_t domain_index(struct entrymap *entrymap, const struct vm *vm,
			     const struct entrymap_conf *conf)
{
	struct entrymap_domain *domain;

	for (size_t i = 0; i < entrymap->domain_count; i++) {
		if (strbuf_eq(&entrymap->domains[i].name, &vm->domain))
			return (uint32_t)i;
	}
	domain = &entrymap->domains[entrymap->domain_count];
	domain->name = vm->domain;
	domain->region = vm->region;
	domain->hash = str_hash(strbuf_str(&vm->domain), SEED_DOMAIN);
	domain->local = str_eq(strbuf_str(&vm->region), conf->region);
	return (uint32_t)entrymap->domain_count++;
}

static void add_vm(struct entrymap *entrymap, const struct vm *vm,
		   const struct entrymap_conf *conf)
{
	struct entrymap_vm *out = &entrymap->vms[entrymap->vm_count++];
	int len;

	out->hash = str_hash(strbuf_str(&vm->id), SEED_VM);
	out->domain = domain_index(entrymap, vm, conf);
	entrymap->domains[out->domain].count++;
	out->id_len = vm->id.len;
	out->text_offset = (uint32_t)entrymap->text_len;
	len = snprintf(entrymap->text + entrymap->text_len, VM_JSON_MAX,
		       "{\"vm\":\"%s\",\"region\":\"%s\","
		       "\"failure_domain\":\"%s\",\"url\":\"http://%s:%u\"}",
		       vm->id.ptr, vm->region.ptr, vm->domain.ptr,
		       vm->address.ptr, conf->entry_port);
	out->text_len = (uint32_t)len;
	entrymap->text_len += (size_t)len;
}

static void group_by_domain(struct entrymap *entrymap)
{
	uint32_t at = 0;

	for (size_t i = 0; i < entrymap->domain_count; i++) {
		entrymap->domains[i].first = at;
		at += entrymap->domains[i].count;
		entrymap->domains[i].count = 0;
	}
	for (size_t i = 0; i < entrymap->vm_count; i++) {
		struct entrymap_domain *d =
			&entrymap->domains[entrymap->vms[i].domain];

		entrymap->by_domain[d->first + d->count++] = (uint32_t)i;
	}
}

/*
 * Weighted rendezvous hashing: the lowest -ln(u)/weight wins. The weight is
 * the number of the domain's VMs, so that every VM is chosen equally often.
 */
static uint32_t pick_domain(const struct entrymap *entrymap, uint64_t key,
			    bool local, const uint32_t *used, size_t used_count)
{
	double best = INFINITY;
	uint32_t found = NO_VM;

	for (uint32_t i = 0; i < entrymap->domain_count; i++) {
		const struct entrymap_domain *d = &entrymap->domains[i];
		bool skip = d->local != local;
		double u;

		for (size_t j = 0; j < used_count; j++)
			skip = skip || used[j] == i;
		if (skip)
			continue;
		u = (double)((mix(key ^ d->hash) >> 11) + 1) * 0x1p-53;
		if (-log(u) / d->count >= best)
			continue;
		best = -log(u) / d->count;
		found = i;
	}
	return found;
}

static uint32_t pick_vm(const struct entrymap *entrymap, uint64_t key,
			uint32_t domain)
{
	const struct entrymap_domain *d = &entrymap->domains[domain];
	uint64_t best = 0;
	uint32_t found = NO_VM;

	for (uint32_t i = 0; i < d->count; i++) {
		const uint32_t at = entrymap->by_domain[d->first + i];
		const uint64_t score = mix(key ^ entrymap->vms[at].hash);

		if (found != NO_VM && score <= best)
			continue;
		best = score;
		found = at;
	}
	return found;
}

/* Two domains of this region, then one elsewhere, then any that are left. */
static void fill_bucket(struct entrymap *entrymap, uint32_t bucket)
{
	static const bool wanted_local[] = {true, true,	 false,
					    true, false, false};
	const uint64_t key = mix(bucket + 1);
	uint32_t used[ENTRYMAP_CHOICES];
	size_t count = 0;

	for (size_t i = 0; i < ENTRYMAP_CHOICES; i++)
		entrymap->buckets[bucket][i] = NO_VM;
	for (size_t i = 0; i < sizeof(wanted_local) && count < ENTRYMAP_CHOICES;
	     i++) {
		const uint32_t domain = pick_domain(
			entrymap, key, wanted_local[i], used, count);

		if (domain == NO_VM)
			continue;
		used[count] = domain;
		entrymap->buckets[bucket][count++] =
			pick_vm(entrymap, key, domain);
	}
}

static void add_services(struct entrymap *entrymap, const struct tbl *tbl)
{
	for (size_t i = 0; i < tbl->service_count; i++) {
		const struct str name = strbuf_str(&tbl->services[i]);
		size_t at = str_hash(name, SEED_SERVICE);

		while (entrymap->services[at & (entrymap->service_slots - 1)]
			       .len)
			at++;
		entrymap->services[at & (entrymap->service_slots - 1)] =
			tbl->services[i];
	}
}

static bool has_service(const struct entrymap *entrymap, struct str name)
{
	size_t at = str_hash(name, SEED_SERVICE);

	for (;; at++) {
		const struct strbuf *slot =
			&entrymap->services[at & (entrymap->service_slots - 1)];

		if (!slot->len)
			return false;
		if (str_eq(strbuf_str(slot), name))
			return true;
	}
}

static int allocate(struct entrymap *entrymap, size_t vms, size_t services)
{
	entrymap->service_slots = 2;
	while (entrymap->service_slots < 2 * services)
		entrymap->service_slots *= 2;
	entrymap->vms = calloc(vms + 1, sizeof(*entrymap->vms));
	entrymap->by_domain = calloc(vms + 1, sizeof(*entrymap->by_domain));
	entrymap->domains = calloc(vms + 1, sizeof(*entrymap->domains));
	entrymap->text = malloc((vms + 1) * VM_JSON_MAX);
	entrymap->buckets =
		calloc(ENTRYMAP_BUCKETS, sizeof(*entrymap->buckets));
	entrymap->services =
		calloc(entrymap->service_slots, sizeof(*entrymap->services));
	if (!entrymap->vms || !entrymap->by_domain || !entrymap->domains ||
	    !entrymap->text || !entrymap->buckets || !entrymap->services)
		return PST_ERR_NOMEM;
	return 0;
}

/* Frees the memory that allocate() reserved but the snapshot doesn't need. */
static void shrink_buffers(struct entrymap *entrymap)
{
	void *text = realloc(entrymap->text, entrymap->text_len + 1);
	void *domains =
		realloc(entrymap->domains, (entrymap->domain_count + 1) *
						   sizeof(*entrymap->domains));

	if (text)
		entrymap->text = text;
	if (domains)
		entrymap->domains = domains;
}

static uint64_t hash_name(const struct strbuf *name, uint64_t seed)
{
	return str_hash(strbuf_str(name), seed);
}

uint64_t entrymap_digest(const struct vmlist *vmlist, const struct tbl *tbl)
{
	uint64_t digest = SEED_VM;

	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];

		if (!is_live_entry(vm))
			continue;
		digest = hash_name(&vm->id, digest);
		digest = hash_name(&vm->region, digest);
		digest = hash_name(&vm->domain, digest);
		digest = hash_name(&vm->address, digest);
	}
	for (size_t i = 0; i < tbl->service_count; i++)
		digest = hash_name(&tbl->services[i], digest);
	return digest;
}

int entrymap_build(struct entrymap **out, const struct vmlist *vmlist,
		   const struct tbl *tbl, const struct entrymap_conf *conf)
{
	struct entrymap *entrymap = calloc(1, sizeof(*entrymap));
	size_t live = 0;

	if (!entrymap)
		return PST_ERR_NOMEM;
	ref_init(&entrymap->ref, release);
	entrymap->ttl_ms = conf->ttl_ms;
	for (size_t i = 0; i < vmlist->count; i++)
		live += is_live_entry(&vmlist->vms[i]);
	if (allocate(entrymap, live, tbl->service_count)) {
		entrymap_put(entrymap);
		return PST_ERR_NOMEM;
	}
	for (size_t i = 0; i < vmlist->count; i++) {
		if (is_live_entry(&vmlist->vms[i]))
			add_vm(entrymap, &vmlist->vms[i], conf);
	}
	shrink_buffers(entrymap);
	group_by_domain(entrymap);
	add_services(entrymap, tbl);
	for (uint32_t i = 0; i < ENTRYMAP_BUCKETS; i++)
		fill_bucket(entrymap, i);
	*out = entrymap;
	return 0;
}

void entrymap_get(struct entrymap *entrymap)
{
	ref_get(&entrymap->ref);
}

void entrymap_put(struct entrymap *entrymap)
{
	if (entrymap)
		ref_put(&entrymap->ref);
}

size_t entrymap_vm_count(const struct entrymap *entrymap)
{
	return entrymap->vm_count;
}

struct str entrymap_vm_id(const struct entrymap *entrymap, uint32_t at)
{
	const struct entrymap_vm *vm = &entrymap->vms[at];

	return (struct str){
		.ptr = entrymap->text + vm->text_offset + ID_OFFSET,
		.len = vm->id_len,
	};
}

size_t entrymap_bytes(const struct entrymap *entrymap)
{
	return sizeof(*entrymap) + entrymap->vm_count * sizeof(*entrymap->vms) +
	       entrymap->vm_count * sizeof(*entrymap->by_domain) +
	       entrymap->domain_count * sizeof(*entrymap->domains) +
	       entrymap->text_len +
	       ENTRYMAP_BUCKETS * sizeof(*entrymap->buckets) +
	       entrymap->service_slots * sizeof(*entrymap->services);
}

size_t entrymap_pick(const struct entrymap *entrymap, struct str block,
		     uint32_t out[ENTRYMAP_CHOICES])
{
	const uint64_t hash = str_hash(block, SEED_BLOCK);
	const uint32_t *bucket =
		entrymap->buckets[hash & (ENTRYMAP_BUCKETS - 1)];
	size_t count = 0;

	while (count < ENTRYMAP_CHOICES && bucket[count] != NO_VM) {
		out[count] = bucket[count];
		count++;
	}
	return count;
}

int entrymap_answer(const struct entrymap *entrymap, struct str service,
		    struct str block, char out[ENTRYMAP_ANSWER_MAX],
		    size_t *len)
{
	uint32_t picked[ENTRYMAP_CHOICES];
	size_t count;
	size_t used;

	if (!service.len || !has_service(entrymap, service))
		return PST_ERR_NOTFOUND;
	count = entrymap_pick(entrymap, block, picked);
	if (!count)
		return PST_ERR_UNAVAILABLE;
	used = (size_t)snprintf(out, ENTRYMAP_ANSWER_MAX,
				"{\"service\":\"%.*s\",\"ttl_ms\":%u,"
				"\"entries\":[",
				STR_ARG(service), entrymap->ttl_ms);
	for (size_t i = 0; i < count; i++) {
		const struct entrymap_vm *vm = &entrymap->vms[picked[i]];

		if (i)
			out[used++] = ',';
		memcpy(out + used, entrymap->text + vm->text_offset,
		       vm->text_len);
		used += vm->text_len;
	}
	memcpy(out + used, "]}", 3);
	*len = used + 2;
	return 0;
}
