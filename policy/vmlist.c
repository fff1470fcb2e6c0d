#include "policy/vmlist.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsonread.h"

#define MAX_VMS	  65536
#define MAX_PORT  65535
#define MAX_SLOTS 65535

/* Longest text of an IPv6 address, in bytes. */
#define ADDRESS_MAX 45

static void release_list(struct ref *ref)
{
	struct vmlist *vmlist = REF_CONTAINER(ref, struct vmlist, ref);

	free(vmlist->vms);
	free(vmlist);
}

/* Lists are sorted by id for the binary search in vmlist_find(). */
static int compare_vms(const void *a, const void *b)
{
	const struct vm *x = a;
	const struct vm *y = b;

	return str_cmp(strbuf_str(&x->id), strbuf_str(&y->id));
}

static int parse_choice(const json_t *value, const char *zero, const char *one,
			int *out)
{
	const struct str word = str_from_c(json_string_value(value));

	if (str_eq(word, str_from_c(zero)))
		*out = 0;
	else if (str_eq(word, str_from_c(one)))
		*out = 1;
	else
		return PST_ERR_INVALID;
	return 0;
}

/* Checks only for characters that an IP address may have. */
static int parse_address(const json_t *value, struct strbuf *out)
{
	const struct str s = str_from_c(json_string_value(value));

	if (!s.len || s.len > ADDRESS_MAX ||
	    strspn(s.ptr, "0123456789abcdefABCDEF.:") != s.len)
		return PST_ERR_INVALID;
	return strbuf_set(out, s);
}

static int parse_upstream(const json_t *entry, struct vm *vm)
{
	uint32_t port;

	if (jsonread_name(json_object_get(entry, "service"), &vm->service) ||
	    jsonread_u32(json_object_get(entry, "port"), 1, MAX_PORT, &port) ||
	    jsonread_u32(json_object_get(entry, "slots"), 0, MAX_SLOTS,
			 &vm->slots))
		return PST_ERR_INVALID;
	vm->port = (uint16_t)port;
	return 0;
}

static int parse_vm(const json_t *entry, struct vm *vm)
{
	int kind;
	int state;

	if (parse_choice(json_object_get(entry, "kind"), "entry", "upstream",
			 &kind) ||
	    parse_choice(json_object_get(entry, "state"), "live", "leaving",
			 &state) ||
	    jsonread_name(json_object_get(entry, "id"), &vm->id) ||
	    jsonread_name(json_object_get(entry, "region"), &vm->region) ||
	    jsonread_name(json_object_get(entry, "failure_domain"),
			  &vm->domain) ||
	    parse_address(json_object_get(entry, "address"), &vm->address))
		return PST_ERR_INVALID;
	vm->kind = kind ? VM_UPSTREAM : VM_ENTRY;
	vm->state = state ? VM_LEAVING : VM_LIVE;
	return vm->kind == VM_UPSTREAM ? parse_upstream(entry, vm) : 0;
}

static int parse_vms(struct vmlist *vmlist, const json_t *list)
{
	const size_t count = json_array_size(list);

	if (!json_is_array(list) || count > MAX_VMS)
		return PST_ERR_INVALID;
	vmlist->vms = calloc(count + 1, sizeof(*vmlist->vms));
	if (!vmlist->vms)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		if (parse_vm(json_array_get(list, i), &vmlist->vms[i]))
			return PST_ERR_INVALID;
	}
	vmlist->count = count;
	return 0;
}

static int check_ids(struct vmlist *vmlist)
{
	vmlist_sort(vmlist);
	for (size_t i = 1; i < vmlist->count; i++) {
		if (strbuf_eq(&vmlist->vms[i - 1].id, &vmlist->vms[i].id))
			return PST_ERR_INVALID;
	}
	return 0;
}

struct scored_vm {
	const struct vm *vm;
	uint64_t score;
};

static bool scores_higher(const struct scored_vm *a, const struct scored_vm *b)
{
	if (a->score != b->score)
		return a->score > b->score;
	return str_cmp(strbuf_str(&a->vm->id), strbuf_str(&b->vm->id)) < 0;
}

int vmlist_parse(struct vmlist **out, struct str json)
{
	json_t *root = jsonread_parse(json);
	struct vmlist *vmlist;
	int err;

	if (!root)
		return PST_ERR_INVALID;
	err = vmlist_create(&vmlist, 0);
	if (!err)
		err = jsonread_u64(json_object_get(root, "revision"), 0,
				   INT64_MAX, &vmlist->revision);
	else
		vmlist = NULL;
	if (!err)
		err = parse_vms(vmlist, json_object_get(root, "vms"));
	if (!err)
		err = check_ids(vmlist);
	json_decref(root);
	if (!err)
		*out = vmlist;
	else
		vmlist_put(vmlist);
	return err;
}

int vmlist_create(struct vmlist **out, size_t count)
{
	struct vmlist *vmlist = calloc(1, sizeof(*vmlist));

	if (!vmlist)
		return PST_ERR_NOMEM;
	ref_init(&vmlist->ref, release_list);
	if (count) {
		vmlist->vms = calloc(count, sizeof(*vmlist->vms));
		if (!vmlist->vms) {
			free(vmlist);
			return PST_ERR_NOMEM;
		}
	}
	vmlist->count = count;
	*out = vmlist;
	return 0;
}

int vmlist_copy(struct vmlist **out, const struct vmlist *from)
{
	const int err = vmlist_create(out, from->count);

	if (err)
		return err;
	(*out)->revision = from->revision;
	if (from->count)
		memcpy((*out)->vms, from->vms,
		       from->count * sizeof(*from->vms));
	return 0;
}

void vmlist_get(struct vmlist *vmlist)
{
	ref_get(&vmlist->ref);
}

void vmlist_put(struct vmlist *vmlist)
{
	if (vmlist)
		ref_put(&vmlist->ref);
}

void vmlist_sort(struct vmlist *vmlist)
{
	qsort(vmlist->vms, vmlist->count, sizeof(*vmlist->vms), compare_vms);
}

bool vm_equal(const struct vm *a, const struct vm *b)
{
	return a->kind == b->kind && a->state == b->state &&
	       a->stopping == b->stopping && a->port == b->port &&
	       a->slots == b->slots && strbuf_eq(&a->region, &b->region) &&
	       strbuf_eq(&a->domain, &b->domain) &&
	       strbuf_eq(&a->address, &b->address) &&
	       strbuf_eq(&a->service, &b->service);
}

const struct vm *vmlist_find(const struct vmlist *vmlist, struct str id)
{
	size_t low = 0;
	size_t high = vmlist->count;

	while (low < high) {
		const size_t middle = (low + high) / 2;
		const int order =
			str_cmp(strbuf_str(&vmlist->vms[middle].id), id);

		if (!order)
			return &vmlist->vms[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

bool vmlist_has_entry_address(const struct vmlist *vmlist, struct str ip)
{
	for (size_t i = 0; i < vmlist->count; i++) {
		if (vmlist->vms[i].kind == VM_ENTRY &&
		    str_eq(strbuf_str(&vmlist->vms[i].address), ip))
			return true;
	}
	return false;
}

size_t vmlist_rendezvous(const struct vmlist *vmlist, struct str key,
			 struct str domain, const struct vm **out, size_t want)
{
	const uint64_t seed = str_hash(key, 0);
	struct scored_vm best[VMLIST_MAX_PICKS];
	size_t count = 0;

	if (want > VMLIST_MAX_PICKS)
		want = VMLIST_MAX_PICKS;
	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		struct scored_vm next = {.vm = vm};
		size_t at;

		if (vm->kind != VM_ENTRY || vm->state != VM_LIVE ||
		    (domain.len && !str_eq(strbuf_str(&vm->domain), domain)))
			continue;
		next.score = str_hash(strbuf_str(&vm->id), seed);
		for (at = count; at && scores_higher(&next, &best[at - 1]);
		     at--) {
			if (at < want)
				best[at] = best[at - 1];
		}
		if (at < want)
			best[at] = next;
		if (count < want)
			count++;
	}
	for (size_t i = 0; i < count; i++)
		out[i] = best[i].vm;
	return count;
}
