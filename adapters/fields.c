#include "fields.h"

#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#define PROBLEM_BYTES 160

#define NAME_CHARS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

static int choice_find(const struct field *f, const char *word)
{
	for (int i = 0; f->choices[i]; i++)
		if (!strcmp(f->choices[i], word))
			return i;
	return -EINVAL;
}

static int text_keep(const struct field *f, const char *text, void *to)
{
	if (strlen(text) >= f->size_bytes)
		return -ENAMETOOLONG;
	g_strlcpy(to, text, f->size_bytes);
	return 0;
}

/**
 * field_name_valid() - is it a name of an account, service, data centre...
 * @text: text
 *
 * Return: true for 1 to NAME_MAX_BYTES - 1 permitted characters.
 */
bool field_name_valid(const char *text)
{
	size_t n = strspn(text, NAME_CHARS);

	return n > 0 && n < NAME_MAX_BYTES && !text[n];
}

static int name_take(const struct field *f, const char *text, void *to)
{
	return field_name_valid(text) ? text_keep(f, text, to) : -EINVAL;
}

static int addr_take(const struct field *f, const char *text, void *to)
{
	(void)f;
	return addr_parse(text, to);
}

static int ip_take(const struct field *f, const char *text, void *to)
{
	struct in_addr in;
	uint32_t ip;

	(void)f;
	if (inet_pton(AF_INET, text, &in) != 1 || in.s_addr == 0)
		return -EINVAL;
	ip = ntohl(in.s_addr);
	memcpy(to, &ip, sizeof(ip));
	return 0;
}

static int endpoint_take(const struct field *f, const char *text, void *to)
{
	uint64_t addr;

	if (!g_str_has_prefix(text, ENDPOINT_PREFIX) ||
	    addr_parse(text + sizeof(ENDPOINT_PREFIX) - 1, &addr))
		return -EINVAL;
	return text_keep(f, text, to);
}

static int url_take(const struct field *f, const char *text, void *to)
{
	char *scheme = NULL;
	char *host = NULL;
	bool ok;

	ok = g_uri_split_network(text, G_URI_FLAGS_NONE, &scheme, &host, NULL,
				 NULL) &&
	     (!strcmp(scheme, "http") || !strcmp(scheme, "https")) && host &&
	     host[0];
	g_free(scheme);
	g_free(host);
	return ok ? text_keep(f, text, to) : -EINVAL;
}

static int key_take(const struct field *f, const char *text, void *to)
{
	uint8_t *out = to;

	if (strlen(text) != f->size_bytes * 2)
		return -EINVAL;
	for (size_t i = 0; i < f->size_bytes; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return -EINVAL;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

static int choice_take(const struct field *f, const char *text, void *to)
{
	int i = choice_find(f, text);

	if (i < 0)
		return i;
	*(uint8_t *)to = (uint8_t)i;
	return 0;
}

static int word_take(const struct field *f, const char *text, void *to)
{
	int i = choice_find(f, text);

	return i < 0 ? i : text_keep(f, text, to);
}

/* What each kind of field expects; choices and ranges are spelled out. */
static const struct {
	uint8_t toml;
	int (*take)(const struct field *f, const char *text, void *to);
	const char *expected;
} kinds[FIELD_KIND_COUNT] = {
	[FIELD_NAME] = { TOML_STRING, name_take,
			 "a name of letters, digits, \"-\", \"_\" and \".\"" },
	[FIELD_ADDR] = { TOML_STRING, addr_take,
			 "an address \"A.B.C.D:PORT\"" },
	[FIELD_IP] = { TOML_STRING, ip_take, "an address \"A.B.C.D\"" },
	[FIELD_ENDPOINT] = { TOML_STRING, endpoint_take,
			     "an endpoint \"tcp://A.B.C.D:PORT\"" },
	[FIELD_URL] = { TOML_STRING, url_take, "a URL \"http://HOST:PORT\"" },
	[FIELD_KEY] = { TOML_STRING, key_take, "64 hex digits" },
	[FIELD_CHOICE] = { TOML_STRING, choice_take, NULL },
	[FIELD_WORD] = { TOML_STRING, word_take, NULL },
	[FIELD_U16] = { TOML_INTEGER, NULL, NULL },
	[FIELD_U32] = { TOML_INTEGER, NULL, NULL },
	[FIELD_U64] = { TOML_INTEGER, NULL, NULL },
	[FIELD_MS] = { TOML_INTEGER, NULL, NULL },
	[FIELD_SECONDS] = { TOML_INTEGER, NULL, NULL },
	[FIELD_DECIMAL] = { TOML_INTEGER, NULL, NULL },
	[FIELD_BOOL] = { TOML_BOOL, NULL, "true or false" },
};

static bool fraction(const struct field *f)
{
	return f->kind == FIELD_SECONDS || f->kind == FIELD_DECIMAL;
}

static const char *choices_text(const struct field *f, char *buf, size_t n)
{
	g_strlcpy(buf, "one of", n);
	for (uint32_t i = 0; f->choices[i]; i++) {
		g_strlcat(buf, i ? ", \"" : " \"", n);
		g_strlcat(buf, f->choices[i], n);
		g_strlcat(buf, "\"", n);
	}
	return buf;
}

static const char *expected_text(const struct field *f, char *buf, size_t n)
{
	if (kinds[f->kind].expected)
		return kinds[f->kind].expected;
	if (f->choices)
		return choices_text(f, buf, n);
	g_snprintf(buf, n, "%s from %lld to %lld",
		   fraction(f) ? "a number" : "an integer", (long long)f->min,
		   (long long)f->max);
	return buf;
}

static void number_put(const struct field *f, int64_t number, void *to)
{
	uint16_t u16 = (uint16_t)number;
	uint32_t u32 = (uint32_t)number;
	uint64_t u64 = (uint64_t)number;
	double decimal = (double)number;

	if (f->kind == FIELD_MS)
		u64 *= NS_PER_MS;
	if (f->kind == FIELD_SECONDS)
		u64 *= NS_PER_S;
	if (f->kind == FIELD_BOOL)
		*(bool *)to = number != 0;
	else if (f->kind == FIELD_U16)
		memcpy(to, &u16, sizeof(u16));
	else if (f->kind == FIELD_U32)
		memcpy(to, &u32, sizeof(u32));
	else if (f->kind == FIELD_DECIMAL)
		memcpy(to, &decimal, sizeof(decimal));
	else
		memcpy(to, &u64, sizeof(u64));
}

static bool in_range(const struct field *f, int64_t number)
{
	return f->kind == FIELD_BOOL || (number >= f->min && number <= f->max);
}

/* Also refuses what is no number: nothing is in range of it. */
static bool decimal_take(const struct field *f, double number, void *to,
			 char *problem, size_t n)
{
	uint64_t ns;

	if (!(number >= (double)f->min && number <= (double)f->max)) {
		g_snprintf(problem, n, "%g is out of range", number);
		return false;
	}
	ns = (uint64_t)(number * (double)NS_PER_S);
	if (f->kind == FIELD_SECONDS)
		memcpy(to, &ns, sizeof(ns));
	else
		memcpy(to, &number, sizeof(number));
	return true;
}

/* Takes the value, or says in @problem why not. */
static bool value_take(const struct field *f, const struct toml_node *node,
		       void *to, char *problem, size_t n)
{
	if (fraction(f) && node->kind == TOML_DECIMAL)
		return decimal_take(f, node->decimal, to, problem, n);
	if (node->kind != kinds[f->kind].toml) {
		g_snprintf(problem, n, "is %s", toml_kind_name(node->kind));
		return false;
	}
	if (kinds[f->kind].take) {
		g_snprintf(problem, n, "\"%.80s\" is not valid",
			   f->kind == FIELD_KEY ? "..." : node->text);
		return kinds[f->kind].take(f, node->text, to) == 0;
	}
	if (!in_range(f, node->number)) {
		g_snprintf(problem, n, "%lld is out of range",
			   (long long)node->number);
		return false;
	}
	number_put(f, node->number, to);
	return true;
}

static void fall_back(const struct field *f, void *to)
{
	if (kinds[f->kind].toml != TOML_STRING)
		number_put(f, f->fallback, to);
	else if (f->kind == FIELD_CHOICE)
		*(uint8_t *)to = (uint8_t)f->fallback;
	else if (f->kind == FIELD_WORD)
		text_keep(f, f->choices[f->fallback], to);
}

/**
 * field_mistake() - add a mistake at a node's line
 * @m: mistakes
 * @node: where
 * @prefix: dotted name of the table, or ""
 * @key: name in the table, or ""
 * @problem: what is wrong
 * @expected: what would be right
 */
void field_mistake(struct mistakes *m, const struct toml_node *node,
		   const char *prefix, const char *key, const char *problem,
		   const char *expected)
{
	char dotted[DOTTED_BYTES];

	g_snprintf(dotted, sizeof(dotted), "%s%s%s", prefix,
		   prefix[0] && key[0] ? "." : "", key);
	mistake_add(m, node->document, node->line, dotted, problem, expected);
}

/**
 * field_take() - take one field, or its fallback
 * @m: mistakes
 * @parent: names the place when @table isn't there
 * @prefix: dotted name of the table, or ""
 * @table: table, or NULL when the document has none
 * @f: field
 * @out: struct that @f speaks of
 */
void field_take(struct mistakes *m, const struct toml_node *parent,
		const char *prefix, struct toml_node *table,
		const struct field *f, void *out)
{
	struct toml_node *node = toml_find(table, f->key);
	void *to = (uint8_t *)out + f->offset;
	char problem[PROBLEM_BYTES] = "missing";
	char expected[DOTTED_BYTES];

	if (!f->keep)
		fall_back(f, to);
	if (!node && !f->required)
		return;
	if (node) {
		node->consumed = 1;
		if (value_take(f, node, to, problem, sizeof(problem)))
			return;
	}
	field_mistake(m,
		      node    ? node
		      : table ? table
			      : parent,
		      prefix, f->key, problem,
		      expected_text(f, expected, sizeof(expected)));
}

/**
 * fields_take() - take all fields of a table
 * @m: mistakes
 * @prefix: dotted name of the table, or ""
 * @table: table; keys taken are marked
 * @fields: fields, end with a key of NULL
 * @out: struct that they speak of
 */
void fields_take(struct mistakes *m, const char *prefix,
		 struct toml_node *table, const struct field *fields, void *out)
{
	for (; fields->key; fields++)
		field_take(m, table, prefix, table, fields, out);
}

/**
 * fields_unknown() - a mistake for each key that nothing took
 * @m: mistakes
 * @prefix: dotted name of the table, or ""
 * @table: table
 */
void fields_unknown(struct mistakes *m, const char *prefix,
		    const struct toml_node *table)
{
	for (uint32_t i = 0; i < table->n_items; i++)
		if (!table->items[i].consumed)
			field_mistake(m, &table->items[i], prefix,
				      table->items[i].key, "unknown key",
				      "a key that is documented");
}
