/* One connection through a link, in both directions. */
#ifndef FAKES_LINK_CONN_H
#define FAKES_LINK_CONN_H

#include "fakes/link/link.h"

struct lnk_conns;

/* Returns NULL when memory is out. */
struct lnk_conns *con_list_create(void);

/*
 * Takes over an accepted descriptor; way is the direction of the bytes that
 * its peer sends.
 */
void con_accept(struct lnk *link, int fd, enum lnk_way way);

/* Closes every connection. */
void con_close_all(struct lnk *link);

/* Makes present connections silent for good. */
void con_silence_all(struct lnk *link);

#endif
