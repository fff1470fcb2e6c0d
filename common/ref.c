#include "common/ref.h"

#include <apr_atomic.h>

void ref_init(struct ref *ref, void (*release)(struct ref *ref))
{
	apr_atomic_set32(&ref->count, 1);
	ref->release = release;
}

void ref_get(struct ref *ref)
{
	apr_atomic_inc32(&ref->count);
}

void ref_put(struct ref *ref)
{
	if (!apr_atomic_dec32(&ref->count))
		ref->release(ref);
}
