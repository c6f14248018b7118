// Checks that the operators' page documents every metric that a router prints.
// Must run in the root of the repository.
#include "metrics/metrics.h"

#include <cstring>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <string>

namespace
{

const std::string prefix = "tanagertrestle_";

// Returns the name of a sample "tanagertrestle_NAME{LABELS} VALUE" in the form
// that the page uses.
std::string row_name(const std::string &line)
{
	std::string name = line.substr(prefix.size());

	name.erase(name.rfind(' '));
	for (const char *suffix : {"_bucket{", "_sum", "_count"}) {
		size_t at = name.find("_seconds" + std::string(suffix));

		if (at != std::string::npos)
			name.erase(at + strlen("_seconds"));
	}
	return name;
}

TEST(Metrics, EachHasARowOnTheOperatorsPage)
{
	std::ifstream file("docs/operators.md");
	std::stringstream page;
	GString *text = g_string_new(nullptr);
	metrics_t *metrics = metrics_new();
	std::string line;
	int rows = 0;

	page << file.rdbuf();
	metrics_print(metrics, text);
	std::stringstream lines(text->str);
	while (std::getline(lines, line)) {
		if (line.compare(0, prefix.size(), prefix) != 0)
			continue;
		EXPECT_NE(page.str().find("\n| `" + row_name(line) + "` | "),
			  std::string::npos)
			<< row_name(line);
		rows++;
	}
	EXPECT_GT(rows, COUNTER_COUNT + GAUGE_COUNT + REFUSAL_COUNT +
				FAILURE_COUNT + HISTOGRAM_COUNT);
	metrics_free(metrics);
	g_string_free(text, TRUE);
}

} // namespace
