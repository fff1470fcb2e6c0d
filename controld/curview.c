#include "controld/curview.h"

#include <pthread.h>
#include <stdlib.h>

#include "common/err.h"

struct curview {
	pthread_mutex_t lock;
	struct ctl_view *view;
};

int curview_create(struct curview **out)
{
	struct curview *curview = calloc(1, sizeof(*curview));

	if (!curview)
		return PST_ERR_NOMEM;
	pthread_mutex_init(&curview->lock, NULL);
	*out = curview;
	return 0;
}

void curview_destroy(struct curview *curview)
{
	if (!curview)
		return;
	ctl_view_put(curview->view);
	pthread_mutex_destroy(&curview->lock);
	free(curview);
}

void curview_publish(struct curview *curview, struct ctl_view *view)
{
	struct ctl_view *old;

	pthread_mutex_lock(&curview->lock);
	old = curview->view;
	curview->view = view;
	pthread_mutex_unlock(&curview->lock);
	ctl_view_put(old);
}

struct ctl_view *curview_get(struct curview *curview)
{
	struct ctl_view *view;

	pthread_mutex_lock(&curview->lock);
	view = curview->view;
	if (view)
		ref_get(&view->ref);
	pthread_mutex_unlock(&curview->lock);
	return view;
}
