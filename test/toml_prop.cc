// Properties of documents: no text crashes the process, and a valid document
// with random changes is rendered or refused with a mistake.
#include <rapidcheck.h>

#include <fstream>
#include <sstream>
#include <string>

extern "C" {
#define class class_of_requests // a member's name, which is a C++ keyword
#include "publication.h"
#undef class
#include "settings.h"
}
#include "toml.h"

static std::string read_file(const char *path)
{
	std::ifstream in(path);
	std::stringstream out;

	out << in.rdbuf();
	return out.str();
}

static const std::string account_text =
	read_file("examples/demo/account/ventolario");
static const std::string template_text =
	read_file("examples/demo/template/sailing");

static const char *find(void *ctx, const char *)
{
	return static_cast<const std::string *>(ctx)->c_str();
}

// Whether the account is rendered; fails when it is refused without a mistake.
static bool render(const std::string &account, std::string text_of_template)
{
	struct mistakes m = {};
	struct template_source source = { &text_of_template, find };
	struct account_conf *a = publication_render(
		"ventolario", account.c_str(), source, nullptr, &m);

	RC_ASSERT((a != nullptr) == (m.n_errors == 0));
	for (uint32_t i = 0; i < m.n; i++) {
		RC_ASSERT(m.list[i].document[0] != '\0');
		RC_ASSERT(m.list[i].expected[0] != '\0');
	}
	account_free(a);
	mistakes_free(&m);
	return a != nullptr;
}

static std::string damage(std::string s)
{
	const std::string chars = "\"[]{}=.,#$\n\\0a9-_\x01\xff";
	const auto n = *rc::gen::inRange(1, 6);

	for (int i = 0; i < n && !s.empty(); i++) {
		const auto at = *rc::gen::inRange<size_t>(0, s.size());
		const auto length = *rc::gen::inRange<size_t>(1, 30);
		const auto how = *rc::gen::inRange(0, 4);

		if (how == 0)
			s[at] = *rc::gen::elementOf(chars);
		else if (how == 1)
			s.insert(at, 1, *rc::gen::elementOf(chars));
		else if (how == 2)
			s.erase(at, length);
		else
			s.insert(at, s.substr(at, length));
	}
	return s;
}

static std::string random_tokens()
{
	static const std::vector<std::string> tokens = { "[",
							 "]",
							 "[[",
							 "]]",
							 "{",
							 "}",
							 "=",
							 "a",
							 "b.c",
							 "\"",
							 "'",
							 "\"\"\"",
							 "1",
							 "-0x",
							 "1e9",
							 "true",
							 "\n",
							 ",",
							 "#",
							 "\\u0000",
							 "${a}",
							 "nan",
							 "99999999999999999999",
							 "1979-05-27",
							 " " };
	std::string s;

	for (const auto &w : *rc::gen::container<std::vector<std::string>>(
		     rc::gen::elementOf(tokens)))
		s += w;
	return s;
}

static void parse_document(const std::string &s)
{
	struct mistakes m = {};
	struct toml_node *root = toml_parse("d", s.data(), s.size(), &m);

	RC_ASSERT((root != nullptr) == (m.n_errors == 0));
	toml_free(root);
	mistakes_free(&m);
}

int main()
{
	bool ok = true;

	ok &= rc::check("the example renders",
			[] { RC_ASSERT(render(account_text, template_text)); });
	ok &= rc::check("any bytes are a tree or a mistake", [] {
		parse_document(*rc::gen::arbitrary<std::string>());
	});
	ok &= rc::check("any tokens of TOML are a tree or a mistake",
			[] { parse_document(random_tokens()); });
	ok &= rc::check("open brackets are a mistake, not a stack overflow",
			[] {
				const auto n = *rc::gen::inRange(1000, 200000);
				const auto c = *rc::gen::element('[', '{');

				parse_document("a = " + std::string(n, c));
				parse_document(std::string(n, c));
			});
	ok &= rc::check("dotted keys are a mistake, not a stack overflow", [] {
		const auto n = *rc::gen::inRange(100, 200000);
		std::string s = *rc::gen::element<std::string>("a", "[a");

		for (int i = 0; i < n; i++)
			s += i % 100 ? ".a" : ".a = {\na";
		parse_document(s + " = 1");
	});
	ok &= rc::check("a damaged account renders or is refused",
			[] { render(damage(account_text), template_text); });
	ok &= rc::check("a damaged template renders or is refused",
			[] { render(account_text, damage(template_text)); });
	return ok ? 0 : 1;
}
