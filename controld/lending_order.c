#include "controld/lending_order.h"

size_t lending_order(const struct ctl_view *view, struct str domain,
		     const struct vm **out, size_t want)
{
	const struct tbl *tbl = view->tbl;
	const int at = tbl_domain_find(tbl, domain);
	size_t count =
		vmlist_rendezvous(view->vmlist, domain, domain, out, want);

	for (size_t i = 0; !count && at >= 0 && i < tbl->domain_count; i++) {
		if (tbl->domains[i].region != tbl->domains[at].region)
			continue;
		count = vmlist_rendezvous(view->vmlist, domain,
					  strbuf_str(&tbl->domains[i].name),
					  out, want);
	}
	if (count)
		return count;
	return vmlist_rendezvous(view->vmlist, domain, STR_LIT(""), out, want);
}
