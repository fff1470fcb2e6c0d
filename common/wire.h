/*
 * Counters of the bytes sent and received on connections between the system's
 * processes and to the platform: TCP payload of RPC, HTTP heads and bodies.
 *
 * The metrics are pst_wire_sent_bytes and pst_wire_received_bytes, labelled by
 * use (for RPC: the program's number), side and scope ("vm" when both ends are
 * on this VM, else "net").
 */
#ifndef COMMON_WIRE_H
#define COMMON_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

struct wire {
	struct ctr *sent;
	struct ctr *received;
};

/* Bytes of one connection already counted; zeroed for a new connection. */
struct wire_seen {
	uint64_t sent;
	uint64_t received;
};

void wire_init_rpc(struct wire *wire, uint32_t program, const char *side,
		   bool own_vm);

/*
 * Adds the bytes that a TCP socket sent and received since the last call. Does
 * nothing when the kernel does not report them.
 */
void wire_count(const struct wire *wire, int fd, struct wire_seen *seen);

/* Adds the bytes of a finished HTTP transfer; use is the metrics' label. */
void wire_count_http(const char *use, CURL *easy);

#endif
