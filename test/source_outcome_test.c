/* Outcomes of calls to the platform. */
#include "source_outcome.h"

#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

static const struct {
	struct http_reply reply;
	enum source_outcome of_list;
	enum source_outcome of_watch;
} rows[] = {
	{ { .status = 200, .begun = true }, SOURCE_OK, SOURCE_OK },
	{ { .status = 410, .begun = true }, SOURCE_GONE, SOURCE_GONE },
	{ { .status = 429, .begun = true }, SOURCE_FAILED, SOURCE_FAILED },
	{ { .status = 503, .begun = true }, SOURCE_FAILED, SOURCE_FAILED },
	{ { .err = -EBUSY }, SOURCE_DEFERRED, SOURCE_DEFERRED },
	{ { .err = -ETIMEDOUT }, SOURCE_FAILED, SOURCE_FAILED },
	{ { .err = -ECONNRESET }, SOURCE_FAILED, SOURCE_FAILED },
	{ { .err = -ECONNRESET, .begun = true },
	  SOURCE_FAILED,
	  SOURCE_UNREADABLE },
	{ { .err = -ETIMEDOUT, .begun = true },
	  SOURCE_FAILED,
	  SOURCE_UNREADABLE },
	{ { .err = -EMSGSIZE, .begun = true },
	  SOURCE_UNREADABLE,
	  SOURCE_UNREADABLE },
	{ { .err = -EPROTO, .begun = true },
	  SOURCE_UNREADABLE,
	  SOURCE_UNREADABLE },
};

/* A watch would be repeated without end if an answer that is too large counted
 * as a failure of the platform. */
static void test_outcomes(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		assert_int_equal(source_outcome_from_reply(&rows[i].reply,
							   SOURCE_LIST),
				 rows[i].of_list);
		assert_int_equal(source_outcome_from_reply(&rows[i].reply,
							   SOURCE_WATCH),
				 rows[i].of_watch);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_outcomes) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
