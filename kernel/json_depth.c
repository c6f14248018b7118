#include "kernel/json_depth.h"

bool json_extent_ok(const char *text, size_t len, int max_depth,
		    size_t max_values)
{
	bool in_string = false;
	size_t values = 1;
	int depth = 0;

	for (size_t i = 0; i < len; i++) {
		char c = text[i];

		if (in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				in_string = false;
		} else if (c == '"') {
			in_string = true;
		} else if (c == '{' || c == '[') {
			if (++depth > max_depth || ++values > max_values)
				return false;
		} else if (c == ',') {
			if (++values > max_values)
				return false;
		} else if (c == '}' || c == ']') {
			depth--;
		} else if (c == '/' || c == '\'') {
			/*
			 * JSON has no comments and no single quotes, but the
			 * parser accepts some of them, and brackets in them
			 * would make the count wrong.
			 */
			return false;
		}
	}
	return true;
}

bool json_depth_ok(const char *text, size_t len, int max_depth)
{
	return json_extent_ok(text, len, max_depth, G_MAXSIZE);
}
