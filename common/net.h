/* Network addresses, and TCP connections from this VM's own address. */
#ifndef COMMON_NET_H
#define COMMON_NET_H

#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>

#include <apr_time.h>

#include "common/settings.h"
#include "common/str.h"

struct net_addr {
	struct sockaddr_storage ss;
	socklen_t len;
};

/* Returns 0, or PST_ERR_INVALID when ip is not an IP address. */
int net_addr_make(struct net_addr *out, struct str ip, uint16_t port);

/* Writes the IP address without its port. */
void net_addr_ip(const struct net_addr *addr, struct strbuf *out);

uint16_t net_addr_port(const struct net_addr *addr);

/*
 * Finds the proxy towards a region in net.proxies. Returns 0,
 * PST_ERR_NOTFOUND when connections go direct, or PST_ERR_INVALID.
 */
int net_proxy_for(const struct settings *set, struct str region,
		  struct net_addr *out);

/*
 * Listens on ip:port. Returns a descriptor owned by the caller, or
 * PST_ERR_IO or PST_ERR_INVALID.
 */
int net_listen(struct str ip, uint16_t port);

/*
 * Connects to peer from vm.address, through the proxy of the peer's region
 * if there is one. Waits at most timeout, which stays the socket's time-out
 * for sends and receives. Returns a blocking descriptor owned by the caller,
 * or PST_ERR_CONNECT or PST_ERR_INVALID.
 */
int net_connect(const struct settings *set, struct str region,
		const struct net_addr *peer, apr_interval_time_t timeout);

#endif
