/*
 * Measures the time that rendering and comparing one account's publication
 * takes. Prints lines "publication TARGETS BYTES RENDER_US COMPARE_US".
 */
#include "publication.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#define TARGETS_PER_SERVICE 500
#define RENDERED_TARGETS 20000

static uint64_t clock_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * NS_PER_S + t.tv_nsec;
}

static char *make_document(uint32_t n_targets, uint64_t generation)
{
	GString *to = g_string_new(NULL);

	g_string_printf(to, "generation = %lu\n", generation);
	for (uint32_t i = 0; i < n_targets; i++) {
		if (i % TARGETS_PER_SERVICE == 0)
			g_string_append_printf(to,
					       "[[service]]\nname = \"s%u\"\n"
					       "vip = \"127.1.0.%u:5683\"\n",
					       i, 1 + i / TARGETS_PER_SERVICE);
		g_string_append_printf(to,
				       "[[service.target]]\n"
				       "address = \"127.2.%u.%u:5683\"\n"
				       "data_centre = \"garda\"\n",
				       i >> 8, i & 0xff);
	}
	return g_string_free(to, FALSE);
}

static struct account_conf *render(const char *text)
{
	struct mistakes m = { 0 };
	struct account_conf *a = publication_render(
		"bench", text, (struct template_source){ 0 }, "garda", &m);

	mistakes_print(&m, stderr);
	mistakes_free(&m);
	return a;
}

static double render_us(const char *text, uint32_t repeats)
{
	uint64_t start_ns = clock_ns();

	for (uint32_t i = 0; i < repeats; i++)
		account_free(render(text));
	return (double)(clock_ns() - start_ns) / 1e3 / repeats;
}

static double compare_us(const char *text, const char *later, uint32_t repeats)
{
	struct account_conf *a = render(text);
	struct account_conf *b = render(later);
	struct mistakes m = { 0 };
	uint64_t start_ns = clock_ns();

	for (uint32_t i = 0; i < repeats; i++)
		publication_compare(a, b, &m);
	account_free(a);
	account_free(b);
	mistakes_free(&m);
	return (double)(clock_ns() - start_ns) / 1e3 / repeats;
}

static void measure(uint32_t n_targets)
{
	uint32_t repeats = RENDERED_TARGETS / n_targets;
	char *text = make_document(n_targets, 1);
	char *later = make_document(n_targets, 2);

	printf("publication %u %zu %.0f %.0f\n", n_targets, strlen(text),
	       render_us(text, repeats), compare_us(text, later, repeats));
	g_free(text);
	g_free(later);
}

int main(void)
{
	static const uint32_t sizes[] = { 10, 100, 1000, 10000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	return 0;
}
