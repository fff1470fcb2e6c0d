/* Watches of the store: answers that stream one JSON object a line. */
#ifndef FAKES_PLATFORM_WATCH_H
#define FAKES_PLATFORM_WATCH_H

#include "fakes/http.h"
#include "fakes/store.h"

struct wat_list;

/* Borrows loop and store. Returns 0 or PST_ERR_NOMEM. */
int wat_create(struct wat_list **out, struct flp *loop, struct fst *store);

/* Starts a watch; request is the call's JSON. */
void wat_add(struct wat_list *list, struct fht_req *req, const json_t *request);

/* Sends what has changed to every watch that is not mute. */
void wat_notify(struct wat_list *list);

/* Makes present watches silent for good. */
void wat_mute(struct wat_list *list);

/* Closes every watch. */
void wat_close(struct wat_list *list);

/* Watches that wait now. */
size_t wat_count(const struct wat_list *list);

#endif
