/* Watches of the store: answers that stream one JSON object per line. */
#ifndef FAKES_PLATFORM_WATCH_H
#define FAKES_PLATFORM_WATCH_H

#include "fakes/http.h"
#include "fakes/store.h"

struct wat_list;

/* Borrows loop and store. Returns 0 or PST_ERR_NOMEM. */
int wat_create(struct wat_list **out, struct evloop *loop,
	       struct memstore *store);

/* Starts a watch; request is the JSON body of the call. */
void wat_add(struct wat_list *list, struct httpsrv_req *req,
	     const json_t *request);

/* Sends new events to every watch that is not muted. */
void wat_notify(struct wat_list *list);

/* Stops all events to the watches that are open now. */
void wat_mute(struct wat_list *list);

/* Closes every watch. */
void wat_close(struct wat_list *list);

/* Returns the number of open watches. */
size_t wat_count(const struct wat_list *list);

#endif
