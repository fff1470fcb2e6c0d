#include "agent/tablemsg.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

#define US_PER_MS 1000

static char *copy_bytes(struct str s)
{
	char *copy = malloc(s.len + 1);

	if (!copy)
		return NULL;
	if (s.len)
		memcpy(copy, s.ptr, s.len);
	copy[s.len] = '\0';
	return copy;
}

static bool copy_part(const struct tbl_part *part, table_part *out)
{
	out->key = copy_bytes(part->key);
	out->mod_revision = part->mod_revision;
	out->value.value_val = copy_bytes(part->value);
	out->value.value_len = (u_int)part->value.len;
	return out->key && out->value.value_val;
}

static bool copy_vm(const struct vm *vm, table_vm *out)
{
	out->id = copy_bytes(strbuf_str(&vm->id));
	out->kind = vm->kind;
	out->state = vm->state;
	out->stopping = vm->stopping;
	out->region = copy_bytes(strbuf_str(&vm->region));
	out->domain = copy_bytes(strbuf_str(&vm->domain));
	out->address = copy_bytes(strbuf_str(&vm->address));
	out->service = copy_bytes(strbuf_str(&vm->service));
	out->port = vm->port;
	out->slots = vm->slots;
	return out->id && out->region && out->domain && out->address &&
	       out->service;
}

static int take_vm(const table_vm *from, struct vm *vm)
{
	if (from->kind > VM_UPSTREAM || from->state > VM_LEAVING ||
	    from->port > UINT16_MAX)
		return PST_ERR_PROTOCOL;
	vm->kind = (enum vm_kind)from->kind;
	vm->state = (enum vm_state)from->state;
	vm->stopping = from->stopping;
	vm->port = (uint16_t)from->port;
	vm->slots = from->slots;
	strbuf_set(&vm->id, str_from_c(from->id));
	strbuf_set(&vm->region, str_from_c(from->region));
	strbuf_set(&vm->domain, str_from_c(from->domain));
	strbuf_set(&vm->address, str_from_c(from->address));
	strbuf_set(&vm->service, str_from_c(from->service));
	return 0;
}

table_part *tablemsg_parts_encode(const struct tbl_part *parts, size_t count)
{
	table_part *copy = count ? calloc(count, sizeof(*copy)) : NULL;
	bool whole = copy;

	for (size_t i = 0; whole && i < count; i++)
		whole = copy_part(&parts[i], &copy[i]);
	if (whole)
		return copy;
	for (size_t i = 0; copy && i < count; i++) {
		free(copy[i].key);
		free(copy[i].value.value_val);
	}
	free(copy);
	return NULL;
}

struct tbl_part *tablemsg_parts_borrow(const table_part *parts, size_t count)
{
	struct tbl_part *borrowed = calloc(count + 1, sizeof(*borrowed));

	for (size_t i = 0; borrowed && i < count; i++) {
		borrowed[i].key = str_from_c(parts[i].key);
		borrowed[i].mod_revision = parts[i].mod_revision;
		borrowed[i].value = (struct str){
			.ptr = parts[i].value.value_val,
			.len = parts[i].value.value_len,
		};
	}
	return borrowed;
}

table_list *tablemsg_list_encode(const struct vmlist *vmlist)
{
	table_list *list = calloc(1, sizeof(*list));
	bool whole = list;

	if (!list)
		return NULL;
	list->revision = vmlist->revision;
	list->vms.vms_val = calloc(vmlist->count + 1, sizeof(table_vm));
	list->vms.vms_len = (u_int)vmlist->count;
	whole = list->vms.vms_val;
	for (size_t i = 0; whole && i < vmlist->count; i++)
		whole = copy_vm(&vmlist->vms[i], &list->vms.vms_val[i]);
	if (whole)
		return list;
	if (list->vms.vms_val)
		xdr_free((xdrproc_t)xdr_table_list, list);
	free(list);
	return NULL;
}

int tablemsg_list_decode(struct vmlist **out, const table_list *list)
{
	int err = vmlist_create(out, list->vms.vms_len);

	if (err)
		return err;
	(*out)->revision = list->revision;
	for (size_t i = 0; !err && i < (*out)->count; i++)
		err = take_vm(&list->vms.vms_val[i], &(*out)->vms[i]);
	if (err)
		vmlist_put(*out);
	return err;
}

static bool fill_delta(const struct vmhist_delta *delta, table_delta *out)
{
	bool whole = true;

	out->previous = delta->previous;
	out->revision = delta->revision;
	out->vms.vms_val = calloc(delta->vm_count + 1, sizeof(table_vm));
	out->gone.gone_val = calloc(delta->gone_count + 1, sizeof(pst_id));
	if (!out->vms.vms_val || !out->gone.gone_val)
		return false;
	out->vms.vms_len = (u_int)delta->vm_count;
	out->gone.gone_len = (u_int)delta->gone_count;
	for (size_t i = 0; whole && i < delta->vm_count; i++)
		whole = copy_vm(delta->vms[i], &out->vms.vms_val[i]);
	for (size_t i = 0; whole && i < delta->gone_count; i++) {
		out->gone.gone_val[i] = copy_bytes(delta->gone[i]);
		whole = out->gone.gone_val[i];
	}
	return whole;
}

table_delta *tablemsg_delta_encode(const struct vmhist_delta *delta)
{
	table_delta *copy = calloc(1, sizeof(*copy));

	if (!copy || fill_delta(delta, copy))
		return copy;
	xdr_free((xdrproc_t)xdr_table_delta, copy);
	free(copy);
	return NULL;
}

int tablemsg_delta_apply(const struct vmhist *vmhist, const table_delta *delta,
			 struct vmlist **out)
{
	const u_int count = delta->vms.vms_len;
	struct vmhist_delta plain = {
		.previous = delta->previous,
		.revision = delta->revision,
		.vms = calloc(count + 1, sizeof(struct vm *)),
		.gone = calloc(delta->gone.gone_len + 1, sizeof(struct str)),
	};
	struct vm *vms = calloc(count + 1, sizeof(*vms));
	int err = plain.vms && plain.gone && vms ? 0 : PST_ERR_NOMEM;

	for (u_int i = 0; !err && i < count; i++) {
		err = take_vm(&delta->vms.vms_val[i], &vms[i]);
		plain.vms[plain.vm_count++] = &vms[i];
	}
	for (u_int i = 0; !err && i < delta->gone.gone_len; i++)
		plain.gone[plain.gone_count++] =
			str_from_c(delta->gone.gone_val[i]);
	if (!err)
		err = vmhist_patch(vmhist, &plain, out);
	vmhist_delta_free(&plain);
	free(vms);
	return err;
}

uint64_t tablemsg_last_revision(const table_answer *answer, uint64_t after)
{
	const u_int count = answer->parts.parts_len;

	return count ? answer->parts.parts_val[count - 1].mod_revision : after;
}

bool_t tablemsg_xdr_void(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

u_int tablemsg_age_ms(apr_interval_time_t age)
{
	const apr_interval_time_t ms =
		age / US_PER_MS + (age % US_PER_MS ? 1 : 0);

	return ms < (apr_interval_time_t)TABLE_AGE_NEVER ? (u_int)ms
							 : TABLE_AGE_NEVER;
}
