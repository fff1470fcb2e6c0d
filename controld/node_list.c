/* The platform's VM list as part of a node's state. */
#include "agent/tablemsg.h"
#include "common/evt.h"
#include "controld/node_state.h"

#define LOG_MODULE "node"

static void publish_list_locked(struct node *node)
{
	node_update_members_locked(node);
	pthread_cond_broadcast(&node->newer);
}

void node_offer_list(struct node *node, struct vmlist *list)
{
	const unsigned long long offered = list->revision;
	const struct vmlist *listed;
	unsigned long long held;
	enum vmhist_read result;

	pthread_mutex_lock(&node->lock);
	listed = vmhist_list(node->listed);
	held = listed ? listed->revision : 0;
	result = vmhist_read(node->listed, list, clk_now(node->clk));
	if (result == VMHIST_READ_OLDER || result == VMHIST_READ_RESTORED)
		evt_log(LIST_OLDER, "held=%llu offered=%llu taken=%d", held,
			offered, result == VMHIST_READ_RESTORED);
	if (result == VMHIST_READ_NEWER || result == VMHIST_READ_RESTORED)
		publish_list_locked(node);
	pthread_mutex_unlock(&node->lock);
}

int node_apply_delta(struct node *node, const table_delta *delta)
{
	struct vmlist *list = NULL;
	int err;

	pthread_mutex_lock(&node->lock);
	err = tablemsg_delta_apply(node->listed, delta, &list);
	if (!err && vmhist_take(node->listed, list))
		publish_list_locked(node);
	pthread_mutex_unlock(&node->lock);
	return err;
}

bool node_has_list(struct node *node)
{
	bool has;

	pthread_mutex_lock(&node->lock);
	has = node->members;
	pthread_mutex_unlock(&node->lock);
	return has;
}

bool node_lists_address(struct node *node, struct str ip)
{
	bool known;

	pthread_mutex_lock(&node->lock);
	known = vmhist_list(node->listed) &&
		vmlist_has_entry_address(vmhist_list(node->listed), ip);
	pthread_mutex_unlock(&node->lock);
	return known;
}
