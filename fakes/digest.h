/* Content digests, and deterministic test bytes for bodies. */
#ifndef FAKES_DIGEST_H
#define FAKES_DIGEST_H

#include <stddef.h>
#include <stdint.h>

/* Size of "sha-256=:BASE64:" with its terminating NUL. */
#define DIG_TEXT_BYTES 56

struct dig;

/* Starts a digest. Returns NULL when out of memory. */
struct dig *dig_start(void);
void dig_add(struct dig *dig, const void *data, size_t len);

/* Writes a Content-Digest value (RFC 9530) and frees dig. */
void dig_finish(struct dig *dig, char out[DIG_TEXT_BYTES]);

/* Frees an unfinished digest; NULL is allowed. */
void dig_free(struct dig *dig);

/* Fills buf with the seed's test bytes from offset on. */
void dig_fill(uint64_t seed, uint64_t offset, void *buf, size_t len);

/* Writes the digest of the seed's first len test bytes; caches the last few. */
void dig_of_fill(uint64_t seed, uint64_t len, char out[DIG_TEXT_BYTES]);

#endif
