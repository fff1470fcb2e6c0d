#include "common/evt.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <ctype.h>
#include <fcntl.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#include "common/err.h"

#define LINE_MAX_BYTES 512
#define RING_LINES     4096

/* Bytes of lines buffered between two calls of evt_flush(). */
#define PENDING_MAX_BYTES 262144

/* Numbers of events are from EVT_FIRST up; see docs/INTERFACES.md. */
#define EVT_FIRST 1000

struct event {
	const char *name;
	enum evt_level level;
};

/* Indexed by event number. */
static const struct event events[] = {
#define X(num, symbol, nm, lvl, keys, meaning, action) \
	[(num)-EVT_FIRST] = {.name = (nm), .level = EVT_##lvl},
#include "schema/events/all.def"
#undef X
};

static const char *const level_names[] = {
	[EVT_ERROR] = "error",
	[EVT_WARN] = "warn",
	[EVT_INFO] = "info",
	[EVT_DEBUG] = "debug",
};

static const int log4c_levels[] = {
	[EVT_ERROR] = LOG4C_PRIORITY_ERROR,
	[EVT_WARN] = LOG4C_PRIORITY_WARN,
	[EVT_INFO] = LOG4C_PRIORITY_INFO,
	[EVT_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static log4c_category_t *category;
static enum evt_level threshold = EVT_INFO;
static FILE *redirect;

/* Lines that wait for evt_flush(), and the count of those dropped. */
static char pending[PENDING_MAX_BYTES];
static size_t pending_len;
static size_t pending_lost;
static int pending_fd = -1;

static pthread_mutex_t ring_lock = PTHREAD_MUTEX_INITIALIZER;
static char ring[RING_LINES][LINE_MAX_BYTES];
static size_t ring_next;

/* log4c's own layouts are not used: they share one static buffer. */
static const char *plain_format(const log4c_layout_t *layout,
				const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static const log4c_layout_type_t plain_layout = {
	.name = "pst-plain",
	.format = plain_format,
};

/* log4c's own appenders are not used: they put a name before each line. */
static int plain_append(log4c_appender_t *appender,
			const log4c_logging_event_t *event)
{
	(void)appender;
	return fputs(event->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t plain_appender = {
	.name = "pst-plain",
	.append = plain_append,
};

static size_t write_stamp(char *line, size_t size)
{
	struct timespec ts;
	struct tm tm;
	size_t used;
	int n;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	used = strftime(line, size, "%Y-%m-%dT%H:%M:%S", &tm);
	n = snprintf(line + used, size - used, ".%06ldZ", ts.tv_nsec / 1000);
	return used + (size_t)n;
}

static void keep_line(const char *line)
{
	pthread_mutex_lock(&ring_lock);
	memcpy(ring[ring_next % RING_LINES], line, strlen(line) + 1);
	ring_next++;
	pthread_mutex_unlock(&ring_lock);
}

static void append_pending(const char *line)
{
	const size_t len = strlen(line);

	if (pending_len + len > sizeof(pending)) {
		pending_lost++;
		return;
	}
	for (size_t i = 0; i < len; i++)
		pending[pending_len++] = line[i];
}

static void emit(const struct event *event, const char *line)
{
	if (redirect) {
		fputs(line, redirect);
		return;
	}
	if (category)
		log4c_category_log(category, log4c_levels[event->level], "%s",
				   line);
}

int evt_init(const char *level)
{
	const struct str want = str_from_c(level);
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	for (int i = EVT_ERROR;; i++) {
		if (i > EVT_DEBUG)
			return PST_ERR_INVALID;
		if (str_eq(want, str_from_c(level_names[i]))) {
			threshold = (enum evt_level)i;
			break;
		}
	}
	log4c_init();
	log4c_layout_type_set(&plain_layout);
	layout = log4c_layout_get("pst-plain");
	log4c_layout_set_type(layout, &plain_layout);
	appender = log4c_appender_get("pst-stderr");
	log4c_appender_set_type(appender, &plain_appender);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get("pst");
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, log4c_levels[threshold]);
	log4c_category_set_additivity(category, 0);
	return 0;
}

void evt_redirect(void *file)
{
	redirect = file;
}

void evt_buffer(int fd)
{
	/* A slow reader of the log loses lines; the process never blocks. */
	(void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	pending_fd = fd;
}

void evt_flush(void)
{
	const size_t lost = pending_lost;
	ssize_t n;

	if (!pending_len)
		return;
	n = write(pending_fd, pending, pending_len);
	if (n <= 0)
		return;
	pending_len -= (size_t)n;
	memmove(pending, pending + n, pending_len);
	if (!lost)
		return;
	pending_lost = 0;
	evt_write("evt", EVT_ID_LOG_LOST, "lines=%zu", lost);
}

void evt_done(void)
{
	category = NULL;
	log4c_fini();
}

void evt_write(const char *module, enum evt_id id, const char *fmt, ...)
{
	const struct event *event = &events[id - EVT_FIRST];
	char line[LINE_MAX_BYTES];
	size_t used = 0;
	va_list ap;
	int n;

	if (event->level > threshold)
		return;
	if (!redirect)
		used = write_stamp(line, sizeof(line));
	n = snprintf(line + used, sizeof(line) - used, "%s%s %s event=%d %s ",
		     redirect ? "" : " ", level_names[event->level], module,
		     (int)id, event->name);
	used += (size_t)n;
	va_start(ap, fmt);
	n = vsnprintf(line + used, sizeof(line) - used, fmt, ap);
	va_end(ap);
	used += (size_t)n;
	if (used > sizeof(line) - 2)
		used = sizeof(line) - 2;
	/* What others write, such as keys, must not begin a line. */
	for (size_t i = 0; i < used; i++) {
		if (iscntrl((unsigned char)line[i]))
			line[i] = '?';
	}
	line[used] = '\n';
	line[used + 1] = '\0';
	if (pending_fd >= 0) {
		append_pending(line);
		return;
	}
	keep_line(line);
	emit(event, line);
}

static size_t append_line(const char *line, char *out, size_t used, size_t size)
{
	const size_t len = strlen(line);

	if (used + len + 1 > size)
		return used;
	memcpy(out + used, line, len + 1);
	return used + len;
}

size_t evt_recent(struct str needle, char *out, size_t size)
{
	size_t used = 0;
	size_t first;

	out[0] = '\0';
	pthread_mutex_lock(&ring_lock);
	first = ring_next > RING_LINES ? ring_next - RING_LINES : 0;
	for (size_t i = first; i < ring_next; i++) {
		const char *line = ring[i % RING_LINES];

		if (memmem(line, strlen(line), needle.ptr, needle.len))
			used = append_line(line, out, used, size);
	}
	pthread_mutex_unlock(&ring_lock);
	return used;
}
