/* Addresses of peers to ask while no VM list is held. */
#include "controld/node_state.h"

static bool is_known(const struct node *node, struct str ip)
{
	for (size_t i = 0; i < node->hint_count; i++) {
		if (str_eq(strbuf_str(&node->hints[i]), ip))
			return true;
	}
	return str_eq(ip, node->set->vm.address);
}

static void add_hint_locked(struct node *node, struct str ip)
{
	struct strbuf *hint = &node->hints[node->next_hint % NODE_HINTS_MAX];

	if (node->members || !ip.len || is_known(node, ip) ||
	    strbuf_set(hint, ip))
		return;
	node->next_hint++;
	if (node->hint_count < NODE_HINTS_MAX)
		node->hint_count++;
}

void node_add_hint(struct node *node, struct str ip)
{
	pthread_mutex_lock(&node->lock);
	add_hint_locked(node, ip);
	pthread_mutex_unlock(&node->lock);
}

void node_add_hints_locked(struct node *node, const table_ask *ask)
{
	for (u_int i = 0; i < ask->hints.hints_len; i++)
		add_hint_locked(node, str_from_c(ask->hints.hints_val[i]));
}

size_t node_hints(struct node *node, struct strbuf out[NODE_HINTS_MAX])
{
	size_t count;

	pthread_mutex_lock(&node->lock);
	count = node->hint_count;
	for (size_t i = 0; i < count; i++)
		out[i] = node->hints[i];
	pthread_mutex_unlock(&node->lock);
	return count;
}
