#include "toml.h"

extern "C" {
#include "toml_shape.h"
}

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <map>
#include <sstream>
#include <string>

#include <toml.hpp>

using value = toml::basic_value<toml::discard_comments, std::map, std::vector>;

/*
 * Index of newlines, from which the lines of values are computed. toml11 counts
 * the newlines before a value each time, which takes quadratic time for a
 * document.
 */
class line_index
{
	std::vector<ptrdiff_t> newlines_;

	void build(const toml::detail::region &r)
	{
		for (auto i = r.begin(); i != r.end(); ++i)
			if (*i == '\n')
				newlines_.push_back(i - r.begin());
	}

      public:
	uint32_t of(const value &v)
	{
		auto r = dynamic_cast<const toml::detail::region *>(
			toml::detail::get_region(v));

		if (!r)
			return 1;
		if (newlines_.empty())
			build(*r);
		auto at = std::lower_bound(newlines_.begin(), newlines_.end(),
					   r->first() - r->begin());
		return static_cast<uint32_t>(at - newlines_.begin()) + 1;
	}
};

static void *allocate(size_t n, size_t size_bytes)
{
	void *p = calloc(n ? n : 1, size_bytes);

	if (!p)
		throw std::bad_alloc();
	return p;
}

static char *copy(const std::string &s)
{
	char *p = static_cast<char *>(allocate(s.size() + 1, 1));

	memcpy(p, s.data(), s.size());
	return p;
}

static void convert_string(const value &v, struct toml_node *out)
{
	const std::string &s = v.as_string().str;

	/* C code sees and checks only the text before the NUL. */
	if (s.find('\0') != std::string::npos)
		throw toml::syntax_error("[error] NUL in a string",
					 v.location());
	out->kind = TOML_STRING;
	out->text = copy(s);
}

static void convert_node(const value &v, const std::string &key,
			 line_index &lines, struct toml_node *out);

/* Converts an item of an array or table; it inherits @out->document. */
static void convert_item(const value &v, const std::string &key,
			 line_index &lines, struct toml_node *out)
{
	struct toml_node *item = &out->items[out->n_items++];

	item->document = out->document;
	convert_node(v, key, lines, item);
}

static void convert_table(const value &v, line_index &lines,
			  struct toml_node *out)
{
	const auto &t = v.as_table();

	out->kind = TOML_TABLE;
	out->items =
		static_cast<toml_node *>(allocate(t.size(), sizeof(toml_node)));
	for (const auto &kv : t)
		convert_item(kv.second, kv.first, lines, out);
}

static void convert_array(const value &v, line_index &lines,
			  struct toml_node *out)
{
	const auto &a = v.as_array();

	out->kind = TOML_ARRAY;
	out->items =
		static_cast<toml_node *>(allocate(a.size(), sizeof(toml_node)));
	for (const auto &item : a)
		convert_item(item, "", lines, out);
}

static void convert_node(const value &v, const std::string &key,
			 line_index &lines, struct toml_node *out)
{
	out->key = copy(key);
	out->line = lines.of(v);
	if (v.is_string()) {
		convert_string(v, out);
	} else if (v.is_floating()) {
		out->kind = TOML_DECIMAL;
		out->decimal = v.as_floating();
	} else if (v.is_integer()) {
		out->kind = TOML_INTEGER;
		out->number = v.as_integer();
	} else if (v.is_boolean()) {
		out->kind = TOML_BOOL;
		out->number = v.as_boolean();
	} else if (v.is_table()) {
		convert_table(v, lines, out);
	} else if (v.is_array()) {
		convert_array(v, lines, out);
	} else {
		out->kind = TOML_OTHER;
	}
}

/* First line of the parser's message, without its tag and function name. */
static std::string first_line(const char *what)
{
	std::string s(what);
	size_t from = 0;
	const std::string tag = "[error] ";

	if (s.compare(0, tag.size(), tag) == 0)
		from = tag.size();
	if (s.compare(from, 6, "toml::") == 0) {
		size_t colon = s.find(": ", from);

		if (colon != std::string::npos)
			from = colon + 2;
	}
	return s.substr(from, s.find('\n', from) - from);
}

static void parse(const std::string &text, const char *document,
		  struct toml_node *root)
{
	std::istringstream in(text, std::ios::binary);
	auto v = toml::parse<toml::discard_comments, std::map, std::vector>(
		in, document);

	line_index lines;

	root->document = document;
	convert_node(v, "", lines, root);
}

/**
 * toml_parse() - parse a document
 * @document: name of the document for mistakes; not copied, has to outlive the
 *	tree
 * @text: text; need not end with NUL
 * @size_bytes: size of the text
 * @mistakes: a mistake is added when the text is not valid TOML or exceeds the
 *	limits of toml_shape.h
 *
 * Throws no exception.
 *
 * Return: the root table, to be freed with toml_free(); NULL after a mistake.
 */
struct toml_node *toml_parse(const char *document, const char *text,
			     size_t size_bytes, struct mistakes *mistakes)
{
	struct toml_node *root = nullptr;

	if (!toml_check_limits(document, text, size_bytes, mistakes))
		return nullptr;
	try {
		root = static_cast<toml_node *>(allocate(1, sizeof(toml_node)));
		parse(std::string(text, size_bytes), document, root);
		return root;
	} catch (const toml::exception &e) {
		mistake_add(mistakes, document,
			    static_cast<uint32_t>(e.location().line()), "",
			    first_line(e.what()).c_str(), "TOML");
	} catch (const std::exception &e) {
		mistake_add(mistakes, document, 0, "",
			    first_line(e.what()).c_str(), "TOML");
	} catch (...) {
		mistake_add(mistakes, document, 0, "", "parser failed", "TOML");
	}
	toml_free(root);
	return nullptr;
}

/**
 * toml_clear() - free the members and items of a node
 * @node: node; zeroed afterwards
 */
void toml_clear(struct toml_node *node)
{
	for (uint32_t i = 0; i < node->n_items; i++)
		toml_clear(&node->items[i]);
	free(node->items);
	free(node->key);
	free(node->text);
	*node = toml_node();
}

/**
 * toml_free() - free a tree
 * @root: root from toml_parse(), or NULL
 */
void toml_free(struct toml_node *root)
{
	if (!root)
		return;
	toml_clear(root);
	free(root);
}

/**
 * toml_find() - find the value of a key
 * @table: node of any kind, or NULL
 * @key: key
 *
 * Return: the value; NULL when there is none or @table is not a table.
 */
struct toml_node *toml_find(const struct toml_node *table, const char *key)
{
	if (!table || table->kind != TOML_TABLE)
		return nullptr;
	for (uint32_t i = 0; i < table->n_items; i++)
		if (!strcmp(table->items[i].key, key))
			return &table->items[i];
	return nullptr;
}

/**
 * toml_kind_name() - description of a kind for messages
 * @kind: kind
 *
 * Return: a constant string with its article.
 */
const char *toml_kind_name(enum toml_kind kind)
{
	static const char *const names[] = {
		"a string",  "an integer", "a number with a fraction",
		"a boolean", "a table",	   "an array",
		"a value"
	};

	return names[kind];
}
