#include "agent/quota_msg.h"

#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "common/err.h"

/* Unit of parts in a message: the sum of one row's parts. */
#define PARTS_PER_WHOLE 1e9

bool_t quota_msg_xdr_none(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

uint64_t quota_msg_incarnation(void)
{
	uint64_t number = 0;

	if (apr_generate_random_bytes((unsigned char *)&number, sizeof(number)))
		number = (uint64_t)apr_time_now();
	return number;
}

static char *copy_name(struct str name)
{
	char *copy = malloc(name.len + 1);

	if (copy) {
		memcpy(copy, name.ptr, name.len);
		copy[name.len] = '\0';
	}
	return copy;
}

int quota_msg_borrow_make(struct shr_x_borrow *out, struct str vm,
			  uint64_t incarnation, enum shr_level level,
			  struct str lender, const struct lending_ask *asks,
			  size_t count)
{
	*out = (struct shr_x_borrow){
		.vm = copy_name(vm),
		.incarnation = incarnation,
		.level = level,
		.lender = copy_name(lender),
	};
	out->asks.asks_val = calloc(count + 1, sizeof(*out->asks.asks_val));
	if (!out->vm || !out->lender || !out->asks.asks_val) {
		xdr_free((xdrproc_t)xdr_shr_x_borrow, out);
		return PST_ERR_NOMEM;
	}
	out->asks.asks_len = (u_int)count;
	for (size_t i = 0; i < count; i++) {
		out->asks.asks_val[i].id = asks[i].id;
		out->asks.asks_val[i].want = asks[i].want;
	}
	return 0;
}

size_t quota_msg_grants(const struct shr_x_lent *lent,
			struct lending_grant *out, size_t count)
{
	if (lent->grants.grants_len < count)
		count = lent->grants.grants_len;
	for (size_t i = 0; i < count; i++) {
		out[i].amount = lent->grants.grants_val[i].amount;
		out[i].duration =
			(apr_interval_time_t)lent->grants.grants_val[i]
				.duration_us;
	}
	return count;
}

static bool put_domains(struct shr_x_splits *out, const struct tbl *tbl)
{
	out->domains.domains_val = calloc(tbl->domain_count + 1,
					  sizeof(*out->domains.domains_val));
	if (!out->domains.domains_val)
		return false;
	for (size_t i = 0; i < tbl->domain_count; i++) {
		char *name = copy_name(strbuf_str(&tbl->domains[i].name));

		if (!name)
			return false;
		out->domains.domains_val[out->domains.domains_len++] = name;
	}
	return true;
}

static bool put_row(struct shr_x_row *out, const struct splitter_row_view *row,
		    size_t domains)
{
	out->rank = row->rank;
	out->service = copy_name(row->service);
	out->parts.parts_val = calloc(domains + 1, sizeof(u_int));
	if (!out->service || !out->parts.parts_val)
		return false;
	out->parts.parts_len = (u_int)domains;
	for (size_t i = 0; i < domains; i++)
		out->parts.parts_val[i] =
			(u_int)(row->share[i] * PARTS_PER_WHOLE + 0.5);
	return true;
}

static bool put_rows(struct shr_x_splits *out, struct splitter *splitter)
{
	struct splitter_row_view rows[SHR_X_ROWS_MAX];
	const size_t domains = splitter_table(splitter)->domain_count;
	const size_t count = splitter_moving(splitter, rows, SHR_X_ROWS_MAX);

	out->rows.rows_val = calloc(count + 1, sizeof(*out->rows.rows_val));
	if (!out->rows.rows_val)
		return false;
	out->rows.rows_len = (u_int)count;
	for (size_t i = 0; i < count; i++) {
		if (!put_row(&out->rows.rows_val[i], &rows[i], domains))
			return false;
	}
	return true;
}

int quota_msg_splits_make(struct shr_x_splits *out, struct splitter *splitter)
{
	*out = (struct shr_x_splits){.known = splitter_table(splitter) != NULL};
	if (!out->known)
		return 0;
	if (put_domains(out, splitter_table(splitter)) &&
	    put_rows(out, splitter))
		return 0;
	xdr_free((xdrproc_t)xdr_shr_x_splits, out);
	return PST_ERR_NOMEM;
}

static void adopt_row(struct splitter *splitter, apr_time_t now,
		      struct str from, const struct shr_x_row *row,
		      const struct str *domains, size_t count)
{
	double share[SHR_X_DOMAINS_MAX];

	if (row->parts.parts_len != count)
		return;
	for (size_t i = 0; i < count; i++)
		share[i] = row->parts.parts_val[i] / PARTS_PER_WHOLE;
	splitter_adopt(splitter, now, from, str_from_c(row->service),
		       (enum rank)row->rank, domains, share, count);
}

void quota_msg_splits_adopt(struct splitter *splitter, apr_time_t now,
			    struct str from, const struct shr_x_splits *splits)
{
	struct str domains[SHR_X_DOMAINS_MAX];
	const size_t count = splits->domains.domains_len;

	for (size_t i = 0; i < count; i++)
		domains[i] = str_from_c(splits->domains.domains_val[i]);
	for (size_t i = 0; i < splits->rows.rows_len; i++)
		adopt_row(splitter, now, from, &splits->rows.rows_val[i],
			  domains, count);
}
