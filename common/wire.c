#include "common/wire.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "common/ctr.h"

#define LABELS_MAX 96

static void open_counters(struct wire *wire, const char *labels)
{
	wire->sent = ctr_get("pst_wire_sent_bytes", labels,
			     "Bytes sent, by use, side and scope.");
	wire->received = ctr_get("pst_wire_received_bytes", labels,
				 "Bytes received, by use, side and scope.");
}

void wire_init_rpc(struct wire *wire, uint32_t program, const char *side,
		   bool own_vm)
{
	char labels[LABELS_MAX];

	snprintf(labels, sizeof(labels), "use=\"%x\",side=\"%s\",scope=\"%s\"",
		 program, side, own_vm ? "vm" : "net");
	open_counters(wire, labels);
}

void wire_count(const struct wire *wire, int fd, struct wire_seen *seen)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) ||
	    len < offsetof(struct tcp_info, tcpi_bytes_sent) +
			    sizeof(info.tcpi_bytes_sent))
		return;
	ctr_add(wire->sent, info.tcpi_bytes_sent - seen->sent);
	ctr_add(wire->received, info.tcpi_bytes_received - seen->received);
	seen->sent = info.tcpi_bytes_sent;
	seen->received = info.tcpi_bytes_received;
}

static uint64_t size_of(CURL *easy, CURLINFO what)
{
	curl_off_t size = 0;

	return curl_easy_getinfo(easy, what, &size) || size < 0
		       ? 0
		       : (uint64_t)size;
}

void wire_count_http(const char *use, CURL *easy)
{
	char labels[LABELS_MAX];
	struct wire wire;
	long request = 0;
	long header = 0;

	snprintf(labels, sizeof(labels),
		 "use=\"%s\",side=\"client\",scope=\"net\"", use);
	open_counters(&wire, labels);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &header);
	ctr_add(wire.sent,
		(uint64_t)request + size_of(easy, CURLINFO_SIZE_UPLOAD_T));
	ctr_add(wire.received,
		(uint64_t)header + size_of(easy, CURLINFO_SIZE_DOWNLOAD_T));
}
