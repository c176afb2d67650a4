#include "fields.h"

#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>

#define PROBLEM_BYTES 160

#define NAME_CHARS \
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

static int find_choice(const struct field *field, const char *word)
{
	for (int i = 0; field->choices[i]; i++)
		if (!strcmp(field->choices[i], word))
			return i;
	return -EINVAL;
}

static int store_text(const struct field *field, const char *text, void *member)
{
	if (strlen(text) >= field->size_bytes)
		return -ENAMETOOLONG;
	g_strlcpy(member, text, field->size_bytes);
	return 0;
}

/**
 * field_name_is_valid() - check the name of an account, service or data centre
 * @text: name
 *
 * Return: true for 1 to NAME_MAX_BYTES - 1 letters, digits, "-", "_" and ".".
 */
bool field_name_is_valid(const char *text)
{
	size_t length = strspn(text, NAME_CHARS);

	return length > 0 && length < NAME_MAX_BYTES && !text[length];
}

static int parse_name(const struct field *field, const char *text, void *member)
{
	return field_name_is_valid(text) ? store_text(field, text, member)
					 : -EINVAL;
}

static int parse_addr(const struct field *field, const char *text, void *member)
{
	(void)field;
	return addr_parse(text, member);
}

static int parse_ip(const struct field *field, const char *text, void *member)
{
	struct in_addr in;
	uint32_t ip;

	(void)field;
	if (inet_pton(AF_INET, text, &in) != 1 || in.s_addr == 0)
		return -EINVAL;
	ip = ntohl(in.s_addr);
	memcpy(member, &ip, sizeof(ip));
	return 0;
}

static int parse_endpoint(const struct field *field, const char *text,
			  void *member)
{
	uint64_t addr;

	if (!g_str_has_prefix(text, ENDPOINT_PREFIX) ||
	    addr_parse(text + sizeof(ENDPOINT_PREFIX) - 1, &addr))
		return -EINVAL;
	return store_text(field, text, member);
}

static int parse_url(const struct field *field, const char *text, void *member)
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
	return ok ? store_text(field, text, member) : -EINVAL;
}

static int parse_key(const struct field *field, const char *text, void *member)
{
	uint8_t *out = member;

	if (strlen(text) != field->size_bytes * 2)
		return -EINVAL;
	for (size_t i = 0; i < field->size_bytes; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return -EINVAL;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

static int parse_choice(const struct field *field, const char *text,
			void *member)
{
	int i = find_choice(field, text);

	if (i < 0)
		return i;
	*(uint8_t *)member = (uint8_t)i;
	return 0;
}

static int parse_word(const struct field *field, const char *text, void *member)
{
	int i = find_choice(field, text);

	return i < 0 ? i : store_text(field, text, member);
}

/*
 * TOML type and parser of each kind. @expected is the text for error messages;
 * NULL when it is made from the field's choices or range.
 */
static const struct {
	uint8_t toml_kind;
	int (*parse)(const struct field *field, const char *text, void *member);
	const char *expected;
} kinds[FIELD_KIND_COUNT] = {
	[FIELD_NAME] = { TOML_STRING, parse_name,
			 "a name of letters, digits, \"-\", \"_\" and \".\"" },
	[FIELD_ADDR] = { TOML_STRING, parse_addr,
			 "an address \"A.B.C.D:PORT\"" },
	[FIELD_IP] = { TOML_STRING, parse_ip, "an address \"A.B.C.D\"" },
	[FIELD_ENDPOINT] = { TOML_STRING, parse_endpoint,
			     "an endpoint \"tcp://A.B.C.D:PORT\"" },
	[FIELD_URL] = { TOML_STRING, parse_url, "a URL \"http://HOST:PORT\"" },
	[FIELD_KEY] = { TOML_STRING, parse_key, "64 hex digits" },
	[FIELD_CHOICE] = { TOML_STRING, parse_choice, NULL },
	[FIELD_WORD] = { TOML_STRING, parse_word, NULL },
	[FIELD_U16] = { TOML_INTEGER, NULL, NULL },
	[FIELD_U32] = { TOML_INTEGER, NULL, NULL },
	[FIELD_U64] = { TOML_INTEGER, NULL, NULL },
	[FIELD_MS] = { TOML_INTEGER, NULL, NULL },
	[FIELD_SECONDS] = { TOML_INTEGER, NULL, NULL },
	[FIELD_DECIMAL] = { TOML_INTEGER, NULL, NULL },
	[FIELD_BOOL] = { TOML_BOOL, NULL, "true or false" },
};

static bool allows_fraction(const struct field *field)
{
	return field->kind == FIELD_SECONDS || field->kind == FIELD_DECIMAL;
}

static const char *format_choices(const struct field *field, char *buf,
				  size_t size_bytes)
{
	g_strlcpy(buf, "one of", size_bytes);
	for (uint32_t i = 0; field->choices[i]; i++) {
		g_strlcat(buf, i ? ", \"" : " \"", size_bytes);
		g_strlcat(buf, field->choices[i], size_bytes);
		g_strlcat(buf, "\"", size_bytes);
	}
	return buf;
}

static const char *format_expected(const struct field *field, char *buf,
				   size_t size_bytes)
{
	if (kinds[field->kind].expected)
		return kinds[field->kind].expected;
	if (field->choices)
		return format_choices(field, buf, size_bytes);
	g_snprintf(buf, size_bytes, "%s from %lld to %lld",
		   allows_fraction(field) ? "a number" : "an integer",
		   (long long)field->min, (long long)field->max);
	return buf;
}

static void store_integer(const struct field *field, int64_t number,
			  void *member)
{
	uint16_t u16 = (uint16_t)number;
	uint32_t u32 = (uint32_t)number;
	uint64_t u64 = (uint64_t)number;
	double decimal = (double)number;

	if (field->kind == FIELD_MS)
		u64 *= NS_PER_MS;
	if (field->kind == FIELD_SECONDS)
		u64 *= NS_PER_S;
	if (field->kind == FIELD_BOOL)
		*(bool *)member = number != 0;
	else if (field->kind == FIELD_U16)
		memcpy(member, &u16, sizeof(u16));
	else if (field->kind == FIELD_U32)
		memcpy(member, &u32, sizeof(u32));
	else if (field->kind == FIELD_DECIMAL)
		memcpy(member, &decimal, sizeof(decimal));
	else
		memcpy(member, &u64, sizeof(u64));
}

static bool integer_in_range(const struct field *field, int64_t number)
{
	return field->kind == FIELD_BOOL ||
	       (number >= field->min && number <= field->max);
}

/* The negated range check rejects NaN too. */
static bool parse_decimal(const struct field *field, double number,
			  void *member, char *problem, size_t problem_bytes)
{
	uint64_t ns;

	if (!(number >= (double)field->min && number <= (double)field->max)) {
		g_snprintf(problem, problem_bytes, "%g is out of range",
			   number);
		return false;
	}
	ns = (uint64_t)(number * (double)NS_PER_S);
	if (field->kind == FIELD_SECONDS)
		memcpy(member, &ns, sizeof(ns));
	else
		memcpy(member, &number, sizeof(number));
	return true;
}

/* Stores the value in @member; on failure writes the reason to @problem. */
static bool parse_value(const struct field *field, const struct toml_node *node,
			void *member, char *problem, size_t problem_bytes)
{
	if (allows_fraction(field) && node->kind == TOML_DECIMAL)
		return parse_decimal(field, node->decimal, member, problem,
				     problem_bytes);
	if (node->kind != kinds[field->kind].toml_kind) {
		g_snprintf(problem, problem_bytes, "is %s",
			   toml_kind_name(node->kind));
		return false;
	}
	if (kinds[field->kind].parse) {
		g_snprintf(problem, problem_bytes, "\"%.80s\" is not valid",
			   field->kind == FIELD_KEY ? "..." : node->text);
		return kinds[field->kind].parse(field, node->text, member) == 0;
	}
	if (!integer_in_range(field, node->number)) {
		g_snprintf(problem, problem_bytes, "%lld is out of range",
			   (long long)node->number);
		return false;
	}
	store_integer(field, node->number, member);
	return true;
}

static void store_default(const struct field *field, void *member)
{
	if (kinds[field->kind].toml_kind != TOML_STRING)
		store_integer(field, field->fallback, member);
	else if (field->kind == FIELD_CHOICE)
		*(uint8_t *)member = (uint8_t)field->fallback;
	else if (field->kind == FIELD_WORD)
		store_text(field, field->choices[field->fallback], member);
}

/**
 * field_add_mistake() - report an error at a node's line
 * @mistakes: list to which the error is added
 * @node: node with the document and line
 * @prefix: dotted name of the table, "" at the top
 * @key: key in the table, "" for the table itself
 * @problem: what is wrong
 * @expected: what a valid value looks like
 */
void field_add_mistake(struct mistakes *mistakes, const struct toml_node *node,
		       const char *prefix, const char *key, const char *problem,
		       const char *expected)
{
	char dotted[DOTTED_KEY_MAX_BYTES];

	g_snprintf(dotted, sizeof(dotted), "%s%s%s", prefix,
		   prefix[0] && key[0] ? "." : "", key);
	mistake_add(mistakes, node->document, node->line, dotted, problem,
		    expected);
}

/**
 * field_parse() - parse one key into its member, or store the default
 * @mistakes: list to which errors are added
 * @parent: node whose line is reported when @table is NULL
 * @prefix: dotted name of the table, "" at the top
 * @table: table, whose key is marked as consumed; NULL when the document has
 *	none
 * @field: field
 * @out: struct with the member
 */
void field_parse(struct mistakes *mistakes, const struct toml_node *parent,
		 const char *prefix, struct toml_node *table,
		 const struct field *field, void *out)
{
	struct toml_node *node = toml_find(table, field->key);
	void *member = (uint8_t *)out + field->offset;
	char problem[PROBLEM_BYTES] = "missing";
	char expected[DOTTED_KEY_MAX_BYTES];

	if (!field->keep_if_missing)
		store_default(field, member);
	if (!node && !field->required)
		return;
	if (node) {
		node->consumed = 1;
		if (parse_value(field, node, member, problem, sizeof(problem)))
			return;
	}
	field_add_mistake(mistakes,
			  node	  ? node
			  : table ? table
				  : parent,
			  prefix, field->key, problem,
			  format_expected(field, expected, sizeof(expected)));
}

/**
 * fields_parse() - parse all fields of a table
 * @mistakes: list to which errors are added
 * @prefix: dotted name of the table, "" at the top
 * @table: table; its known keys are marked as consumed
 * @fields: fields, up to one whose key is NULL
 * @out: struct with the members
 */
void fields_parse(struct mistakes *mistakes, const char *prefix,
		  struct toml_node *table, const struct field *fields,
		  void *out)
{
	for (; fields->key; fields++)
		field_parse(mistakes, table, prefix, table, fields, out);
}

/**
 * fields_report_unknown() - report an error for each key not marked as
 *	consumed
 * @mistakes: list to which errors are added
 * @prefix: dotted name of the table, "" at the top
 * @table: table after fields_parse()
 */
void fields_report_unknown(struct mistakes *mistakes, const char *prefix,
			   const struct toml_node *table)
{
	for (uint32_t i = 0; i < table->n_items; i++)
		if (!table->items[i].consumed)
			field_add_mistake(mistakes, &table->items[i], prefix,
					  table->items[i].key, "unknown key",
					  "a key that is documented");
}
