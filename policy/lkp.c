#include "policy/lkp.h"

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

struct lkp_vm {
	uint64_t hash;
	uint32_t domain;
	uint32_t id_len;
	/* Position of the VM's JSON object within lkp::text. */
	uint32_t text_offset;
	uint32_t text_len;
};

struct lkp_domain {
	struct strbuf name;
	struct strbuf region;
	uint64_t hash;
	/* Range of the domain's VMs in lkp::by_domain. */
	uint32_t first;
	uint32_t count;
	bool local;
};

struct lkp {
	struct ref ref;
	struct lkp_vm *vms;
	size_t vm_count;
	/* Indexes into vms, grouped by domain. */
	uint32_t *by_domain;
	struct lkp_domain *domains;
	size_t domain_count;
	char *text;
	size_t text_len;
	uint32_t (*buckets)[LKP_CHOICES];
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
	struct lkp *lkp = REF_CONTAINER(ref, struct lkp, ref);

	free(lkp->vms);
	free(lkp->by_domain);
	free(lkp->domains);
	free(lkp->text);
	free(lkp->buckets);
	free(lkp->services);
	free(lkp);
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

static uint32_t domain_index(struct lkp *lkp, const struct vm *vm,
			     const struct lkp_conf *conf)
{
	struct lkp_domain *domain;

	for (size_t i = 0; i < lkp->domain_count; i++) {
		if (strbuf_eq(&lkp->domains[i].name, &vm->domain))
			return (uint32_t)i;
	}
	domain = &lkp->domains[lkp->domain_count];
	domain->name = vm->domain;
	domain->region = vm->region;
	domain->hash = str_hash(strbuf_str(&vm->domain), SEED_DOMAIN);
	domain->local = str_eq(strbuf_str(&vm->region), conf->region);
	return (uint32_t)lkp->domain_count++;
}

static void add_vm(struct lkp *lkp, const struct vm *vm,
		   const struct lkp_conf *conf)
{
	struct lkp_vm *out = &lkp->vms[lkp->vm_count++];
	int len;

	out->hash = str_hash(strbuf_str(&vm->id), SEED_VM);
	out->domain = domain_index(lkp, vm, conf);
	lkp->domains[out->domain].count++;
	out->id_len = vm->id.len;
	out->text_offset = (uint32_t)lkp->text_len;
	len = snprintf(lkp->text + lkp->text_len, VM_JSON_MAX,
		       "{\"vm\":\"%s\",\"region\":\"%s\","
		       "\"failure_domain\":\"%s\",\"url\":\"http://%s:%u\"}",
		       vm->id.ptr, vm->region.ptr, vm->domain.ptr,
		       vm->address.ptr, conf->entry_port);
	out->text_len = (uint32_t)len;
	lkp->text_len += (size_t)len;
}

static void group_by_domain(struct lkp *lkp)
{
	uint32_t at = 0;

	for (size_t i = 0; i < lkp->domain_count; i++) {
		lkp->domains[i].first = at;
		at += lkp->domains[i].count;
		lkp->domains[i].count = 0;
	}
	for (size_t i = 0; i < lkp->vm_count; i++) {
		struct lkp_domain *d = &lkp->domains[lkp->vms[i].domain];

		lkp->by_domain[d->first + d->count++] = (uint32_t)i;
	}
}

/*
 * Weighted rendezvous hashing: the lowest -ln(u)/weight wins. The weight is
 * the number of the domain's VMs, so that every VM is chosen equally often.
 */
static uint32_t pick_domain(const struct lkp *lkp, uint64_t key, bool local,
			    const uint32_t *used, size_t used_count)
{
	double best = INFINITY;
	uint32_t found = NO_VM;

	for (uint32_t i = 0; i < lkp->domain_count; i++) {
		const struct lkp_domain *d = &lkp->domains[i];
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

static uint32_t pick_vm(const struct lkp *lkp, uint64_t key, uint32_t domain)
{
	const struct lkp_domain *d = &lkp->domains[domain];
	uint64_t best = 0;
	uint32_t found = NO_VM;

	for (uint32_t i = 0; i < d->count; i++) {
		const uint32_t at = lkp->by_domain[d->first + i];
		const uint64_t score = mix(key ^ lkp->vms[at].hash);

		if (found != NO_VM && score <= best)
			continue;
		best = score;
		found = at;
	}
	return found;
}

/* Two domains of this region, then one elsewhere, then any that are left. */
static void fill_bucket(struct lkp *lkp, uint32_t bucket)
{
	static const bool wanted_local[] = {true, true,	 false,
					    true, false, false};
	const uint64_t key = mix(bucket + 1);
	uint32_t used[LKP_CHOICES];
	size_t count = 0;

	for (size_t i = 0; i < LKP_CHOICES; i++)
		lkp->buckets[bucket][i] = NO_VM;
	for (size_t i = 0; i < sizeof(wanted_local) && count < LKP_CHOICES;
	     i++) {
		const uint32_t domain =
			pick_domain(lkp, key, wanted_local[i], used, count);

		if (domain == NO_VM)
			continue;
		used[count] = domain;
		lkp->buckets[bucket][count++] = pick_vm(lkp, key, domain);
	}
}

static void add_services(struct lkp *lkp, const struct tbl *tbl)
{
	for (size_t i = 0; i < tbl->service_count; i++) {
		const struct str name = strbuf_str(&tbl->services[i]);
		size_t at = str_hash(name, SEED_SERVICE);

		while (lkp->services[at & (lkp->service_slots - 1)].len)
			at++;
		lkp->services[at & (lkp->service_slots - 1)] = tbl->services[i];
	}
}

static bool has_service(const struct lkp *lkp, struct str name)
{
	size_t at = str_hash(name, SEED_SERVICE);

	for (;; at++) {
		const struct strbuf *slot =
			&lkp->services[at & (lkp->service_slots - 1)];

		if (!slot->len)
			return false;
		if (str_eq(strbuf_str(slot), name))
			return true;
	}
}

static int allocate(struct lkp *lkp, size_t vms, size_t services)
{
	lkp->service_slots = 2;
	while (lkp->service_slots < 2 * services)
		lkp->service_slots *= 2;
	lkp->vms = calloc(vms + 1, sizeof(*lkp->vms));
	lkp->by_domain = calloc(vms + 1, sizeof(*lkp->by_domain));
	lkp->domains = calloc(vms + 1, sizeof(*lkp->domains));
	lkp->text = malloc((vms + 1) * VM_JSON_MAX);
	lkp->buckets = calloc(LKP_BUCKETS, sizeof(*lkp->buckets));
	lkp->services = calloc(lkp->service_slots, sizeof(*lkp->services));
	if (!lkp->vms || !lkp->by_domain || !lkp->domains || !lkp->text ||
	    !lkp->buckets || !lkp->services)
		return PST_ERR_NOMEM;
	return 0;
}

/* Frees the memory that allocate() reserved but the snapshot doesn't need. */
static void shrink_buffers(struct lkp *lkp)
{
	void *text = realloc(lkp->text, lkp->text_len + 1);
	void *domains = realloc(lkp->domains, (lkp->domain_count + 1) *
						      sizeof(*lkp->domains));

	if (text)
		lkp->text = text;
	if (domains)
		lkp->domains = domains;
}

static uint64_t hash_name(const struct strbuf *name, uint64_t seed)
{
	return str_hash(strbuf_str(name), seed);
}

uint64_t lkp_digest(const struct vml *vml, const struct tbl *tbl)
{
	uint64_t digest = SEED_VM;

	for (size_t i = 0; i < vml->count; i++) {
		const struct vm *vm = &vml->vms[i];

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

int lkp_build(struct lkp **out, const struct vml *vml, const struct tbl *tbl,
	      const struct lkp_conf *conf)
{
	struct lkp *lkp = calloc(1, sizeof(*lkp));
	size_t live = 0;

	if (!lkp)
		return PST_ERR_NOMEM;
	ref_init(&lkp->ref, release);
	lkp->ttl_ms = conf->ttl_ms;
	for (size_t i = 0; i < vml->count; i++)
		live += is_live_entry(&vml->vms[i]);
	if (allocate(lkp, live, tbl->service_count)) {
		lkp_put(lkp);
		return PST_ERR_NOMEM;
	}
	for (size_t i = 0; i < vml->count; i++) {
		if (is_live_entry(&vml->vms[i]))
			add_vm(lkp, &vml->vms[i], conf);
	}
	shrink_buffers(lkp);
	group_by_domain(lkp);
	add_services(lkp, tbl);
	for (uint32_t i = 0; i < LKP_BUCKETS; i++)
		fill_bucket(lkp, i);
	*out = lkp;
	return 0;
}

void lkp_get(struct lkp *lkp)
{
	ref_get(&lkp->ref);
}

void lkp_put(struct lkp *lkp)
{
	if (lkp)
		ref_put(&lkp->ref);
}

size_t lkp_vm_count(const struct lkp *lkp)
{
	return lkp->vm_count;
}

struct str lkp_vm_id(const struct lkp *lkp, uint32_t at)
{
	const struct lkp_vm *vm = &lkp->vms[at];

	return (struct str){
		.ptr = lkp->text + vm->text_offset + ID_OFFSET,
		.len = vm->id_len,
	};
}

size_t lkp_bytes(const struct lkp *lkp)
{
	return sizeof(*lkp) + lkp->vm_count * sizeof(*lkp->vms) +
	       lkp->vm_count * sizeof(*lkp->by_domain) +
	       lkp->domain_count * sizeof(*lkp->domains) + lkp->text_len +
	       LKP_BUCKETS * sizeof(*lkp->buckets) +
	       lkp->service_slots * sizeof(*lkp->services);
}

size_t lkp_pick(const struct lkp *lkp, struct str block,
		uint32_t out[LKP_CHOICES])
{
	const uint64_t hash = str_hash(block, SEED_BLOCK);
	const uint32_t *bucket = lkp->buckets[hash & (LKP_BUCKETS - 1)];
	size_t count = 0;

	while (count < LKP_CHOICES && bucket[count] != NO_VM) {
		out[count] = bucket[count];
		count++;
	}
	return count;
}

int lkp_answer(const struct lkp *lkp, struct str service, struct str block,
	       char out[LKP_ANSWER_MAX], size_t *len)
{
	uint32_t picked[LKP_CHOICES];
	size_t count;
	size_t used;

	if (!service.len || !has_service(lkp, service))
		return PST_ERR_NOTFOUND;
	count = lkp_pick(lkp, block, picked);
	if (!count)
		return PST_ERR_UNAVAILABLE;
	used = (size_t)snprintf(out, LKP_ANSWER_MAX,
				"{\"service\":\"%.*s\",\"ttl_ms\":%u,"
				"\"entries\":[",
				STR_ARG(service), lkp->ttl_ms);
	for (size_t i = 0; i < count; i++) {
		const struct lkp_vm *vm = &lkp->vms[picked[i]];

		if (i)
			out[used++] = ',';
		memcpy(out + used, lkp->text + vm->text_offset, vm->text_len);
		used += vm->text_len;
	}
	memcpy(out + used, "]}", 3);
	*len = used + 2;
	return 0;
}
