#include "fakes/digest.h"

#include <stdio.h>
#include <string.h>

#include <apr_base64.h>
#include <openssl/evp.h>

#define CACHE_ENTRIES 32
#define BLOCK_BYTES   65536

struct cached {
	uint64_t seed;
	uint64_t len;
	char text[DIG_TEXT_BYTES];
};

static struct cached cache[CACHE_ENTRIES];
static size_t cache_next;

struct dig *dig_start(void)
{
	EVP_MD_CTX *ctx = EVP_MD_CTX_new();

	if (ctx)
		EVP_DigestInit_ex(ctx, EVP_sha256(), NULL);
	return (struct dig *)(void *)ctx;
}

void dig_add(struct dig *dig, const void *data, size_t len)
{
	EVP_DigestUpdate((EVP_MD_CTX *)(void *)dig, data, len);
}

void dig_finish(struct dig *dig, char out[DIG_TEXT_BYTES])
{
	unsigned char raw[EVP_MAX_MD_SIZE];
	char text[64];
	unsigned len = 0;

	EVP_DigestFinal_ex((EVP_MD_CTX *)(void *)dig, raw, &len);
	apr_base64_encode(text, (const char *)raw, (int)len);
	snprintf(out, DIG_TEXT_BYTES, "sha-256=:%.44s:", text);
	dig_free(dig);
}

void dig_free(struct dig *dig)
{
	EVP_MD_CTX_free((EVP_MD_CTX *)(void *)dig);
}

/* splitmix64 of the position, so that any offset can be generated directly. */
static uint64_t word_at(uint64_t seed, uint64_t index)
{
	uint64_t z = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

void dig_fill(uint64_t seed, uint64_t offset, void *buf, size_t len)
{
	unsigned char *out = buf;

	while (len) {
		const uint64_t word = word_at(seed, offset / sizeof(word));
		const size_t skip = offset % sizeof(word);
		size_t part = sizeof(word) - skip;

		if (part > len)
			part = len;
		memcpy(out, (const unsigned char *)&word + skip, part);
		out += part;
		offset += part;
		len -= part;
	}
}

static void compute(uint64_t seed, uint64_t len, char out[DIG_TEXT_BYTES])
{
	static unsigned char block[BLOCK_BYTES];
	struct dig *dig = dig_start();
	uint64_t offset = 0;

	while (offset < len) {
		size_t part = sizeof(block);

		if (len - offset < part)
			part = (size_t)(len - offset);
		dig_fill(seed, offset, block, part);
		dig_add(dig, block, part);
		offset += part;
	}
	dig_finish(dig, out);
}

void dig_of_fill(uint64_t seed, uint64_t len, char out[DIG_TEXT_BYTES])
{
	struct cached *entry;

	for (size_t i = 0; i < CACHE_ENTRIES; i++) {
		if (cache[i].text[0] && cache[i].seed == seed &&
		    cache[i].len == len) {
			memcpy(out, cache[i].text, DIG_TEXT_BYTES);
			return;
		}
	}
	entry = &cache[cache_next++ % CACHE_ENTRIES];
	entry->seed = seed;
	entry->len = len;
	compute(seed, len, entry->text);
	memcpy(out, entry->text, DIG_TEXT_BYTES);
}
