#include "policy/finding.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

struct finding_place finding_at(enum finding_part part, size_t row,
				enum finding_field field)
{
	return (struct finding_place){part, field, (long)row, -1, false};
}

void findings_add(struct findings *findings, enum finding_severity severity,
		  struct finding_place place, const char *code, const char *fmt,
		  ...)
{
	struct finding finding = {severity, place, code, NULL};
	va_list args;
	int n;

	if (findings->count == findings->room) {
		const size_t room = findings->room ? findings->room * 2 : 16;
		struct finding *list =
			realloc(findings->list, room * sizeof(*list));

		if (!list) {
			findings->incomplete = true;
			return;
		}
		findings->list = list;
		findings->room = room;
	}
	va_start(args, fmt);
	n = vasprintf(&finding.text, fmt, args);
	va_end(args);
	if (n < 0)
		findings->incomplete = true;
	else
		findings->list[findings->count++] = finding;
}

void findings_free(struct findings *findings)
{
	for (size_t i = 0; i < findings->count; i++)
		free(findings->list[i].text);
	free(findings->list);
	*findings = (struct findings){0};
}
