/*
 * Error numbers.
 *
 * Functions return 0 on success and a negative number of enum pst_err on
 * failure.
 */
#ifndef COMMON_ERR_H
#define COMMON_ERR_H

enum pst_err {
	PST_OK = 0,
#define X(name, number, text) PST_ERR_##name = (number),
#include "schema/errors/all.def"
#undef X
};

/* Returns the symbolic name of an error number; never NULL. */
const char *err_name(int err);

/* Returns a one-line explanation of an error number; never NULL. */
const char *err_text(int err);

#endif
