/* Watches of the store: answers that stream one JSON object per line. */
#ifndef FAKES_PLATFORM_WATCH_H
#define FAKES_PLATFORM_WATCH_H

#include "fakes/http.h"
#include "fakes/store.h"

struct watchset;

/* Borrows loop and store. Returns 0 or PST_ERR_NOMEM. */
int watchset_create(struct watchset **out, struct evloop *loop,
		    struct memstore *store);

/* Starts a watch; request is the JSON body of the call. */
void watchset_add(struct watchset *list, struct httpsrv_req *req,
		  const json_t *request);

/* Sends new events to every watch that is not muted. */
void watchset_notify(struct watchset *list);

/* Stops all events to the watches that are open now. */
void watchset_mute(struct watchset *list);

/* Closes every watch. */
void watchset_close(struct watchset *list);

/* Returns the number of open watches. */
size_t watchset_count(const struct watchset *list);

#endif
