/* Digests of bodies and deterministic test bytes. */
#ifndef FAKES_DIGEST_H
#define FAKES_DIGEST_H

#include <stddef.h>
#include <stdint.h>

/* Length of "sha-256=:BASE64:" with its final NUL. */
#define DIG_TEXT_BYTES 56

struct dig;

/* Starts a digest; NULL when memory is out. */
struct dig *dig_start(void);
void dig_add(struct dig *dig, const void *data, size_t len);

/* Writes a Content-Digest value (RFC 9530) and frees dig. */
void dig_finish(struct dig *dig, char out[DIG_TEXT_BYTES]);

/* NULL is allowed. */
void dig_drop(struct dig *dig);

/* Fills buf with the test bytes from offset on of the given seed. */
void dig_fill(uint64_t seed, uint64_t offset, void *buf, size_t len);

/* Digest of the first len test bytes; the last lengths are remembered. */
void dig_of_fill(uint64_t seed, uint64_t len, char out[DIG_TEXT_BYTES]);

#endif
