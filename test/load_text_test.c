/* Load of services as metrics and as lines of the status page. */
#include "load_text.h"
#include "packet_bed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <cmocka.h>

#define CALLER ADDR(0x64400001, 1000)

static struct load_source source_of(const struct bed *b)
{
	return (struct load_source){ b->path, b->directory, b->now_ns };
}

static char *metrics_of(const struct bed *b)
{
	struct load_source source = source_of(b);
	GString *out = g_string_new(NULL);

	load_append_metrics(out, &source);
	return g_string_free(out, FALSE);
}

static char *status_of(const struct bed *b)
{
	struct load_source source = source_of(b);
	GString *out = g_string_new(NULL);

	load_append_status(out, &source);
	return g_string_free(out, FALSE);
}

static void expect_text(char *text, const char *expected)
{
	assert_non_null(strstr(text, expected));
	g_free(text);
}

/* Guards against pages that grow by each service and class that has no load. */
static void test_page_without_load_is_empty(void **state)
{
	struct bed b;
	char *metrics, *status;

	(void)state;
	bed_open(&b);
	metrics = metrics_of(&b);
	status = status_of(&b);
	assert_string_equal(metrics, "");
	assert_string_equal(status, "load_control off\n");
	g_free(metrics);
	g_free(status);
	bed_close(&b);
}

/* Guards against an event that is shown under another class or service. */
static void test_events_have_service_class_and_name(void **state)
{
	struct bed b;

	(void)state;
	bed_open(&b);
	bed_target(&b, 1, SERVICE, ZONE);
	bed_open_flow(&b, CALLER, REPORT_VIP);
	expect_text(metrics_of(&b),
		    "cb_packet_requests_total{service=\"forecast\","
		    "class=\"report\",event=\"offered\"} 1\n"
		    "cb_packet_requests_total{service=\"forecast\","
		    "class=\"report\",event=\"admitted\"} 1\n");
	expect_text(status_of(&b),
		    "load forecast report offered=1 admitted=1\n");
	bed_close(&b);
}

/* Guards against a name that ends its label or its line, so that a scrape of
 * the whole page fails. */
static void test_names_of_services_are_escaped(void **state)
{
	struct route_table *t;
	struct bed b;

	(void)state;
	bed_open(&b);
	t = bed_table(&b, 2);
	t->routes[0].shares[0].service =
		directory_add_service(b.directory, "a \"b\"\\c\nd");
	directory_set_routes(b.directory, t, b.now_ns);
	bed_syn(&b, CALLER, VIP, 0);
	expect_text(metrics_of(&b),
		    "{service=\"a \\\"b\\\"\\\\c\\nd\",class=\"feed\",");
	expect_text(status_of(&b), "load a%20%22b%22%5Cc%0Ad feed offered=1 "
				   "refused_no_target=1\n");
	bed_close(&b);
}

/* Guards against openings that wait and that no page shows. */
static void test_held_openings_and_their_age_are_shown(void **state)
{
	static struct policy policy;
	struct target *t;
	struct bed b;

	(void)state;
	policy = policy_default;
	policy.load_control = LOAD_CONTROL_ON;
	bed_open_with(&b, &policy);
	bed_set_route_times(&b, 300, 2500);
	t = bed_target(&b, 1, SERVICE, ZONE);
	bed_open_flow(&b, CALLER, REPORT_VIP);
	bed_data(&b, CALLER, REPORT_VIP, t->cookie, 2, 1, 100);
	b.now_ns += 50 * MS;
	bed_data(&b, CALLER, REPORT_VIP, t->cookie, 2, 1001, 0);
	t->peers_running = 100;
	assert_int_equal(bed_syn(&b, CALLER + 1, REPORT_VIP, 0).reason,
			 PATH_held);
	b.now_ns += 500 * MS;
	expect_text(metrics_of(&b),
		    "cb_packet_admission_held{service=\"forecast\"} 1\n"
		    "cb_packet_admission_oldest_seconds{service=\"forecast\"} "
		    "0.5\n");
	expect_text(metrics_of(&b), "cb_packet_admission_refusing{service="
				    "\"forecast\"} 0\n");
	expect_text(status_of(&b), "load_control on\nadmission forecast held=1 "
				   "oldest_ms=500 predicted_wait_ms=0 ");
	bed_close(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_page_without_load_is_empty),
		cmocka_unit_test(test_events_have_service_class_and_name),
		cmocka_unit_test(test_names_of_services_are_escaped),
		cmocka_unit_test(test_held_openings_and_their_age_are_shown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
