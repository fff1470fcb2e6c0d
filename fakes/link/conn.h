/* Connections through a link, each relayed in both directions. */
#ifndef FAKES_LINK_CONN_H
#define FAKES_LINK_CONN_H

#include "fakes/link/link.h"

struct lnk_conns;

/* Returns NULL when out of memory. */
struct lnk_conns *conn_list_create(void);

/*
 * Takes over an accepted descriptor; way is the direction of the bytes that
 * its peer sends.
 */
void conn_accept(struct lnk *link, int fd, enum lnk_direction direction);

/* Closes every connection. */
void conn_close_all(struct lnk *link);

/* Makes the open connections silent permanently. */
void conn_silence_all(struct lnk *link);

#endif
