#include "controld/cview.h"

#include <pthread.h>
#include <stdlib.h>

#include "common/err.h"

struct cview {
	pthread_mutex_t lock;
	struct ctl_view *view;
};

int cview_create(struct cview **out)
{
	struct cview *cview = calloc(1, sizeof(*cview));

	if (!cview)
		return PST_ERR_NOMEM;
	pthread_mutex_init(&cview->lock, NULL);
	*out = cview;
	return 0;
}

void cview_destroy(struct cview *cview)
{
	if (!cview)
		return;
	ctl_view_put(cview->view);
	pthread_mutex_destroy(&cview->lock);
	free(cview);
}

void cview_publish(struct cview *cview, struct ctl_view *view)
{
	struct ctl_view *old;

	pthread_mutex_lock(&cview->lock);
	old = cview->view;
	cview->view = view;
	pthread_mutex_unlock(&cview->lock);
	ctl_view_put(old);
}

struct ctl_view *cview_get(struct cview *cview)
{
	struct ctl_view *view;

	pthread_mutex_lock(&cview->lock);
	view = cview->view;
	if (view)
		ref_get(&view->ref);
	pthread_mutex_unlock(&cview->lock);
	return view;
}
