#include "kernel/errmsg.h"

#include <stdarg.h>

void errmsg_set(errmsg_t *err, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
}
