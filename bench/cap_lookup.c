/*
 * Cost of look-up decisions at several sizes of the fleet: time and memory
 * of a snapshot, time of a pick and of an answer.
 *
 * With the arguments ADDRESS PORT SERVICE SECONDS THREADS it asks a running
 * pst-lookupd instead, one request at a time on each thread's connection, and
 * prints the requests a second; see docs/design/lookup.md.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "policy/entrymap.h"

#define BLOCKS	 160000
#define SERVICES 3700

/* Answers timed at each size. */
#define ANSWERS 400000

static const size_t sizes[] = {24, 240, 2400, 6800};

static char (*blocks)[24];

static struct vmlist *make_list(size_t count)
{
	const size_t regions = count < 100 ? 3 : 22;
	const size_t domains = count < 100 ? 2 : 4;
	struct vmlist *vmlist = calloc(1, sizeof(*vmlist));
	char text[64];

	vmlist->vms = calloc(count, sizeof(*vmlist->vms));
	for (size_t i = 0; i < count; i++) {
		struct vm *vm = &vmlist->vms[vmlist->count++];
		const size_t region = i % regions;
		const size_t domain = i / regions % domains;

		vm->kind = VM_ENTRY;
		vm->state = VM_LIVE;
		snprintf(text, sizeof(text), "entry-%zu", i);
		strbuf_set(&vm->id, str_from_c(text));
		snprintf(text, sizeof(text), "region-%zu", region);
		strbuf_set(&vm->region, str_from_c(text));
		snprintf(text, sizeof(text), "region-%zu-%zu", region, domain);
		strbuf_set(&vm->domain, str_from_c(text));
		snprintf(text, sizeof(text), "10.%zu.%zu.%zu", region, i / 250,
			 i % 250);
		strbuf_set(&vm->address, str_from_c(text));
	}
	return vmlist;
}

static struct tbl *make_services(void)
{
	struct tbl *tbl = calloc(1, sizeof(*tbl));
	char text[64];

	tbl->services = calloc(SERVICES, sizeof(*tbl->services));
	for (size_t i = 0; i < SERVICES; i++) {
		snprintf(text, sizeof(text), "service-%zu", i);
		strbuf_set(&tbl->services[tbl->service_count++],
			   str_from_c(text));
	}
	return tbl;
}

static void print_row(const char *quantity, size_t size, double value,
		      const char *unit)
{
	printf("lookup,%s,%zu,%.3f,%s\n", quantity, size, value, unit);
}

static double time_answers(const struct entrymap *entrymap,
			   const struct tbl *tbl)
{
	const apr_time_t begun = clk_now(clk_system());
	char text[ENTRYMAP_ANSWER_MAX];
	size_t len = 0;

	for (size_t i = 0; i < ANSWERS; i++)
		entrymap_answer(
			entrymap, strbuf_str(&tbl->services[i * 7 % SERVICES]),
			str_from_c(blocks[i * 31 % BLOCKS]), text, &len);
	return (double)(clk_now(clk_system()) - begun) * 1000 / ANSWERS;
}

static double time_picks(const struct entrymap *entrymap)
{
	const apr_time_t begun = clk_now(clk_system());
	uint32_t picked[ENTRYMAP_CHOICES];

	for (size_t i = 0; i < ANSWERS; i++)
		entrymap_pick(entrymap, str_from_c(blocks[i * 31 % BLOCKS]),
			      picked);
	return (double)(clk_now(clk_system()) - begun) * 1000 / ANSWERS;
}

/* Returns the largest number of blocks with the same first VM over the mean. */
static double unevenness(const struct entrymap *entrymap, size_t vms)
{
	size_t *first = calloc(vms, sizeof(*first));
	size_t largest = 0;
	size_t named = 0;

	for (size_t i = 0; i < BLOCKS; i++) {
		uint32_t picked[ENTRYMAP_CHOICES];

		entrymap_pick(entrymap, str_from_c(blocks[i]), picked);
		first[picked[0]]++;
	}
	for (size_t i = 0; i < vms; i++) {
		named += first[i] > 0;
		largest = first[i] > largest ? first[i] : largest;
	}
	free(first);
	return (double)largest * (double)named / BLOCKS;
}

static void measure(const struct tbl *tbl, size_t vms)
{
	const struct entrymap_conf conf = {
		.region = STR_LIT("region-1"),
		.entry_port = 8080,
		.ttl_ms = 5000,
	};
	struct vmlist *vmlist = make_list(vms);
	struct entrymap *entrymap = NULL;
	const apr_time_t begun = clk_now(clk_system());

	entrymap_build(&entrymap, vmlist, tbl, &conf);
	print_row("build", vms, (double)(clk_now(clk_system()) - begun) / 1000,
		  "ms");
	print_row("state", vms, (double)entrymap_bytes(entrymap), "bytes");
	print_row("pick", vms, time_picks(entrymap), "ns");
	print_row("answer", vms, time_answers(entrymap, tbl), "ns");
	print_row("largest_over_mean", vms, unevenness(entrymap, vms), "ratio");
	entrymap_put(entrymap);
	free(vmlist->vms);
	free(vmlist);
}

/* Maximum number of load threads. */
#define THREADS_MAX 16

struct load {
	struct sockaddr_in to;
	const char *service;
	apr_time_t end;
	atomic_ulong done;
	atomic_ulong failed;
};

static bool ask_once(int fd, const char *service, size_t block)
{
	char text[4096];
	const int len = snprintf(text, sizeof(text),
				 "GET /v1/lookup?service=%s&block=%s "
				 "HTTP/1.1\r\nHost: x\r\n\r\n",
				 service, blocks[block % BLOCKS]);
	ssize_t got;

	if (send(fd, text, (size_t)len, MSG_NOSIGNAL) != len)
		return false;
	got = recv(fd, text, sizeof(text) - 1, 0);
	return got > 12 && !memcmp(text + 8, " 200", 4);
}

static void *run_load(void *arg)
{
	struct load *load = arg;
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t block = (size_t)(uintptr_t)&fd;

	if (connect(fd, (struct sockaddr *)&load->to, sizeof(load->to)))
		atomic_fetch_add(&load->failed, 1);
	else
		while (clk_now(clk_system()) < load->end) {
			if (ask_once(fd, load->service, block++))
				atomic_fetch_add(&load->done, 1);
			else
				atomic_fetch_add(&load->failed, 1);
		}
	close(fd);
	return NULL;
}

static int load_server(char **argv)
{
	const int seconds = atoi(argv[4]);
	const int threads = atoi(argv[5]);
	struct load load = {.service = argv[3]};
	pthread_t ids[THREADS_MAX];

	load.to.sin_family = AF_INET;
	load.to.sin_port = htons((uint16_t)atoi(argv[2]));
	if (inet_pton(AF_INET, argv[1], &load.to.sin_addr) != 1 ||
	    threads < 1 || threads > THREADS_MAX || seconds < 1)
		return 64;
	load.end = clk_now(clk_system()) + CLK_SEC(seconds);
	for (int i = 0; i < threads; i++)
		pthread_create(&ids[i], NULL, run_load, &load);
	for (int i = 0; i < threads; i++)
		pthread_join(ids[i], NULL);
	print_row("requests", (size_t)threads, (double)load.done / seconds,
		  "requests/s");
	print_row("failed", (size_t)threads, (double)load.failed, "requests");
	return 0;
}

static void make_blocks(void)
{
	blocks = calloc(BLOCKS, sizeof(*blocks));
	for (size_t i = 0; i < BLOCKS; i++)
		snprintf(blocks[i], sizeof(blocks[i]), "10.%zu.%zu.0/24",
			 i / 256, i % 256);
}

int main(int argc, char **argv)
{
	struct tbl *tbl;

	make_blocks();
	if (argc == 6)
		return load_server(argv);
	tbl = make_services();
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(tbl, sizes[i]);
	free(blocks);
	free(tbl->services);
	free(tbl);
	return 0;
}
