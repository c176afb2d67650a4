#include "settings_table.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define DOTTED_BYTES 128
#define NAME_CHARS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

static const char *const kind_text[] = {
	[SET_NAME] = "a name of letters, digits, \"-\", \"_\" and \".\"",
	[SET_ADDR] = "an address \"A.B.C.D:PORT\"",
	[SET_IP] = "an address \"A.B.C.D\"",
	[SET_ENDPOINT] = "an endpoint \"tcp://A.B.C.D:PORT\"",
	[SET_URL] = "a URL \"http://HOST:PORT\"",
	[SET_KEY] = "64 hex digits",
};

/**
 * settings_open() - read and parse a file
 * @r: reader, to be closed when this returns 0
 * @path: file
 * @m: mistakes
 *
 * Return: 0, -EINVAL when it isn't TOML, or why it can't be read.
 */
int settings_open(struct settings_reader *r, const char *path,
		  struct mistakes *m)
{
	char *text = NULL;
	gsize size_bytes = 0;
	GError *error = NULL;

	*r = (struct settings_reader){ path, NULL, m, m->n_errors };
	if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
		mistake_add(m, path, 0, "", error->message, "a readable file");
		g_error_free(error);
		return -ENOENT;
	}
	r->root = toml_read(path, text, size_bytes, m);
	g_free(text);
	return r->root ? 0 : -EINVAL;
}

static void complain(struct settings_reader *r, uint32_t line,
		     const char *section, const char *key, const char *problem,
		     const char *expected)
{
	char dotted[DOTTED_BYTES];

	g_snprintf(dotted, sizeof(dotted), "%s%s%s", section,
		   section[0] && key[0] ? "." : "", key);
	mistake_add(r->m, r->path, line, dotted, problem, expected);
}

/**
 * settings_mistake() - add a mistake at a key's line, or its section's
 * @r: reader
 * @section: table
 * @key: name
 * @problem: what is wrong
 * @expected: what would be right
 */
void settings_mistake(struct settings_reader *r, const char *section,
		      const char *key, const char *problem,
		      const char *expected)
{
	const struct toml_node *table = toml_find(r->root, section);
	const struct toml_node *node = toml_find(table, key);
	uint32_t line = node ? node->line : table ? table->line : 0;

	complain(r, line, section, key, problem, expected);
}

static const char *expected_text(const struct setting *s, char *buf, size_t n)
{
	size_t used = 0;

	if (s->kind == SET_U16 || s->kind == SET_U32) {
		g_snprintf(buf, n, "an integer from %lld to %lld",
			   (long long)s->min, (long long)s->max);
		return buf;
	}
	if (!s->choices)
		return kind_text[s->kind];
	g_strlcpy(buf, "one of", n);
	for (uint32_t i = 0; s->choices[i]; i++) {
		used = strlen(buf);
		g_snprintf(buf + used, n - used, "%s \"%s\"", i ? "," : "",
			   s->choices[i]);
	}
	return buf;
}

static int choice_find(const struct setting *s, const char *word)
{
	for (int i = 0; s->choices[i]; i++)
		if (!strcmp(s->choices[i], word))
			return i;
	return -EINVAL;
}

static int text_keep(const struct setting *s, const char *text, void *to)
{
	if (strlen(text) >= s->size_bytes)
		return -ENAMETOOLONG;
	g_strlcpy(to, text, s->size_bytes);
	return 0;
}

static int name_take(const struct setting *s, const char *text, void *to)
{
	if (!text[0] || text[strspn(text, NAME_CHARS)])
		return -EINVAL;
	return text_keep(s, text, to);
}

static int addr_take(const struct setting *s, const char *text, void *to)
{
	(void)s;
	return addr_parse(text, to);
}

static int ip_take(const struct setting *s, const char *text, void *to)
{
	struct in_addr in;
	uint32_t ip;

	(void)s;
	if (inet_pton(AF_INET, text, &in) != 1 || in.s_addr == 0)
		return -EINVAL;
	ip = ntohl(in.s_addr);
	memcpy(to, &ip, sizeof(ip));
	return 0;
}

static int endpoint_take(const struct setting *s, const char *text, void *to)
{
	uint64_t addr;

	if (!g_str_has_prefix(text, ENDPOINT_PREFIX) ||
	    addr_parse(text + sizeof(ENDPOINT_PREFIX) - 1, &addr))
		return -EINVAL;
	return text_keep(s, text, to);
}

static int url_take(const struct setting *s, const char *text, void *to)
{
	char *host = NULL;
	bool ok = g_uri_split_network(text, G_URI_FLAGS_NONE, NULL, &host, NULL,
				      NULL) &&
		  host && host[0] &&
		  (g_str_has_prefix(text, "http://") ||
		   g_str_has_prefix(text, "https://"));

	g_free(host);
	return ok ? text_keep(s, text, to) : -EINVAL;
}

static int key_take(const struct setting *s, const char *text, void *to)
{
	uint8_t *out = to;

	if (strlen(text) != s->size_bytes * 2)
		return -EINVAL;
	for (size_t i = 0; i < s->size_bytes; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return -EINVAL;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

static int choice_take(const struct setting *s, const char *text, void *to)
{
	int i = choice_find(s, text);

	if (i >= 0)
		*(uint8_t *)to = (uint8_t)i;
	return i < 0 ? i : 0;
}

static int word_take(const struct setting *s, const char *text, void *to)
{
	int i = choice_find(s, text);

	return i < 0 ? i : text_keep(s, text, to);
}

static int (*const text_takers[])(const struct setting *, const char *,
				  void *) = {
	[SET_NAME] = name_take,	    [SET_ADDR] = addr_take,
	[SET_IP] = ip_take,	    [SET_ENDPOINT] = endpoint_take,
	[SET_URL] = url_take,	    [SET_KEY] = key_take,
	[SET_CHOICE] = choice_take, [SET_WORD] = word_take,
};

static void integer_put(const struct setting *s, int64_t number, void *to)
{
	uint16_t u16 = (uint16_t)number;
	uint32_t u32 = (uint32_t)number;

	if (s->kind == SET_U16)
		memcpy(to, &u16, sizeof(u16));
	else
		memcpy(to, &u32, sizeof(u32));
}

static bool is_integer(const struct setting *s)
{
	return s->kind == SET_U16 || s->kind == SET_U32;
}

static void take(struct settings_reader *r, const struct setting *s,
		 const struct toml_node *node, void *to)
{
	enum toml_kind kind = is_integer(s) ? TOML_INTEGER : TOML_STRING;
	char expected[DOTTED_BYTES];
	const char *problem = NULL;

	if (node->kind != kind)
		problem = toml_kind_name(node->kind);
	else if (is_integer(s) &&
		 (node->number < s->min || node->number > s->max))
		problem = "out of range";
	else if (is_integer(s))
		integer_put(s, node->number, to);
	else if (text_takers[s->kind](s, node->text, to))
		problem = "wrong value";
	if (problem)
		complain(r, node->line, s->section, s->key, problem,
			 expected_text(s, expected, sizeof(expected)));
}

static void fall_back(const struct setting *s, void *to)
{
	if (is_integer(s))
		integer_put(s, s->fallback, to);
	else if (s->kind == SET_CHOICE)
		*(uint8_t *)to = (uint8_t)s->fallback;
	else if (s->kind == SET_WORD)
		text_keep(s, s->choices[s->fallback], to);
}

static void one(struct settings_reader *r, const struct setting *s, void *out)
{
	struct toml_node *table = toml_find(r->root, s->section);
	struct toml_node *node = toml_find(table, s->key);
	void *to = (uint8_t *)out + s->offset;
	char expected[DOTTED_BYTES];

	fall_back(s, to);
	if (node) {
		node->taken = 1;
		take(r, s, node, to);
	} else if (s->required) {
		settings_mistake(r, s->section, s->key, "missing",
				 expected_text(s, expected, sizeof(expected)));
	}
}

static bool has_section(const struct setting *table, const char *section)
{
	for (; table->key; table++)
		if (!strcmp(table->section, section))
			return true;
	return false;
}

static void unknown_keys(struct settings_reader *r, const struct toml_node *t)
{
	for (uint32_t i = 0; i < t->n_items; i++)
		if (!t->items[i].taken)
			complain(r, t->items[i].line, t->key, t->items[i].key,
				 "unknown key", "a key of this section");
}

static void unknown(struct settings_reader *r, const struct setting *table)
{
	for (uint32_t i = 0; i < r->root->n_items; i++) {
		const struct toml_node *t = &r->root->items[i];

		if (!has_section(table, t->key))
			complain(r, t->line, t->key, "", "unknown section",
				 "a section of these settings");
		else if (t->kind != TOML_TABLE)
			complain(r, t->line, t->key, "",
				 toml_kind_name(t->kind), "a table");
		else
			unknown_keys(r, t);
	}
}

/* Endpoint that a key names, or ADDR_NONE. */
static uint64_t endpoint(const struct setting *s, const void *out)
{
	const char *at = (const char *)out + s->offset;
	uint64_t addr = ADDR_NONE;

	if (s->kind == SET_ADDR)
		memcpy(&addr, at, sizeof(addr));
	else if (s->kind == SET_ENDPOINT && at[0])
		addr_parse(at + sizeof(ENDPOINT_PREFIX) - 1, &addr);
	return addr;
}

static void clash(struct settings_reader *r, const struct setting *table,
		  const struct setting *s, const void *out)
{
	char problem[DOTTED_BYTES];

	for (const struct setting *o = table; o != s; o++) {
		if (o->listens != s->listens ||
		    endpoint(o, out) != endpoint(s, out))
			continue;
		g_snprintf(problem, sizeof(problem), "same address as %s.%s",
			   o->section, o->key);
		settings_mistake(r, s->section, s->key, problem,
				 "an address of its own");
	}
}

/**
 * settings_take() - fill a struct by its table; adds every mistake
 * @r: reader
 * @table: keys, ends with a key of NULL
 * @out: struct
 */
void settings_take(struct settings_reader *r, const struct setting *table,
		   void *out)
{
	for (const struct setting *s = table; s->key; s++)
		one(r, s, out);
	unknown(r, table);
	for (const struct setting *s = table; s->key; s++)
		if (s->listens && endpoint(s, out))
			clash(r, table, s, out);
}

/**
 * settings_errors() - errors of this file so far
 * @r: reader
 *
 * Return: their number.
 */
uint32_t settings_errors(const struct settings_reader *r)
{
	return r->m->n_errors - r->errors_before;
}

/**
 * settings_close() - free the reader
 * @r: reader
 *
 * Return: 0, or -EINVAL when the file had an error.
 */
int settings_close(struct settings_reader *r)
{
	int err = settings_errors(r) ? -EINVAL : 0;

	toml_free(r->root);
	r->root = NULL;
	return err;
}
