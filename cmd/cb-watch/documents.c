/* Documents of the platform, rendered and published to the spread. */
#include "watch.h"

#include "account_codec.h"
#include "log.h"
#include "publication.h"

#include <errno.h>
#include <string.h>

#define ACCOUNT_PREFIX "account/"

/**
 * struct rendering - one document on its way
 * @watch: process
 * @wanted: name of a template that was asked for and is not at hand
 */
struct rendering {
	const struct watch *watch;
	char wanted[NAME_MAX_BYTES];
};

static const char *find_template(void *ctx, const char *name)
{
	struct rendering *r = ctx;

	if (!strcmp(name, r->watch->template))
		return r->watch->template_text;
	g_strlcpy(r->wanted, name, sizeof(r->wanted));
	return NULL;
}

static void note_refused(struct watch *w, const char *key, const char *reason)
{
	log_line(LOG_ERROR, "publish", key, "refused: %s", reason);
	g_hash_table_replace(w->refused, g_strdup(key), g_strdup(reason));
}

static void note_mistakes(struct watch *w, const char *key,
			  const struct mistakes *m)
{
	GString *reason = g_string_new(NULL);

	for (uint32_t i = 0; i < m->n; i++) {
		const struct mistake *one = &m->list[i];

		if (one->is_warning)
			continue;
		g_string_append_printf(reason, "%s%s:%u: %s: %s, expected %s",
				       reason->len ? "; " : "", one->document,
				       one->line, one->key, one->problem,
				       one->expected);
	}
	note_refused(w, key, reason->str);
	g_string_free(reason, TRUE);
}

static const char *publish_problem(int err)
{
	static const struct {
		int err;
		const char *text;
	} problems[] = {
		{ -ESTALE, "its generation is older than the one in force" },
		{ -EEXIST, "its generation is in force with another content: "
			   "publish a higher one" },
		{ -EPERM, "it was withdrawn: publish a higher generation" },
		{ -EINVAL, "generation 0" },
		{ -ENOSPC, "too many keys" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(problems); i++)
		if (problems[i].err == err)
			return problems[i].text;
	return strerror(-err);
}

static int publish(struct watch *w, const char *key, uint64_t generation,
		   uint64_t revision, const struct content *c)
{
	int err = spread_publish(w->spread, key, generation, revision, c,
				 uv_hrtime());

	if (err && err != -EALREADY)
		note_refused(w, key, publish_problem(err));
	else
		g_hash_table_remove(w->refused, key);
	return err;
}

/**
 * documents_roster() - the list of VMs is known, or known anew
 * @w: process
 * @content: list; NULL when the platform has none
 */
void documents_roster(struct watch *w, const struct content *content)
{
	int32_t n = content ? roster_decode(content, w->vms, VMS_MAX) : 0;

	if (n < 0) {
		log_line(LOG_ERROR, "roster", w->vms_key, "unreadable: %s",
			 strerror(-n));
		return;
	}
	w->roster_known = true;
	spread_set_roster(w->spread, w->vms, (uint32_t)n, uv_hrtime());
}

static int take_roster(struct watch *w, const char *key, const char *text,
		       uint32_t size_bytes, uint64_t revision)
{
	struct content *c;
	int err = roster_encode(text, size_bytes, &c);

	if (err) {
		note_refused(w, key, "expected lines of ADDRESS STATE");
		return err;
	}
	err = publish(w, key, revision, revision, c);
	content_free(c);
	return err;
}

static void note_vips(struct watch *w, const char *key,
		      const struct content *content)
{
	const char *name = key + strlen(ACCOUNT_PREFIX);
	struct account_conf *a = NULL;

	if (content && account_decode(name, 1, content, &a))
		return;
	vips_set(w->vips, name, a);
	account_free(a);
}

static int publish_account(struct watch *w, const char *key, uint64_t revision,
			   struct account_conf *a)
{
	struct content *c;
	int err = account_encode(a, &c);

	if (err)
		return err;
	err = publish(w, key, a->generation, revision, c);
	content_free(c);
	/* documents_check() noted VIPs that did not come in force after all. */
	if (err)
		note_vips(w, key, spread_content(w->spread, key));
	return err;
}

/*
 * Callers of a VIP would reach the targets of whichever account an entry looks
 * at first. The account that is in force keeps it, the other is refused whole
 * and tried again when the accounts in force change.
 */
static bool vips_free_for(struct watch *w, const char *key, const char *text,
			  struct template_source source, struct mistakes *m)
{
	vips_check(w->vips, key + strlen(ACCOUNT_PREFIX), text, source, m);
	if (!m->n_errors)
		return true;
	w->vips_refused = true;
	return false;
}

static int take_account(struct watch *w, const char *key, const char *text,
			uint64_t revision, char template[NAME_MAX_BYTES])
{
	struct rendering r = { .watch = w };
	struct template_source source = { &r, find_template };
	struct mistakes mistakes = { 0 };
	struct account_conf *a;
	int err = -EINVAL;

	a = publication_render(key + strlen(ACCOUNT_PREFIX), text, source,
			       w->settings.data_centre, &mistakes);
	if (r.wanted[0] && template) {
		g_strlcpy(template, r.wanted, NAME_MAX_BYTES);
		err = -ENOENT;
	} else if (!a || !vips_free_for(w, key, text, source, &mistakes)) {
		note_mistakes(w, key, &mistakes);
	} else {
		err = publish_account(w, key, revision, a);
	}
	account_free(a);
	mistakes_free(&mistakes);
	return err;
}

static int take_document(void *ctx, const char *key, const char *text,
			 uint32_t size_bytes, uint64_t revision,
			 char template[NAME_MAX_BYTES])
{
	struct watch *w = ctx;
	char *copy;
	int err;

	if (!strcmp(key, w->vms_key))
		return take_roster(w, key, text, size_bytes, revision);
	if (template) {
		g_clear_pointer(&w->template_text, g_free);
		w->template[0] = 0;
	}
	copy = g_strndup(text, size_bytes);
	err = take_account(w, key, copy, revision, template);
	g_free(copy);
	return err;
}

static void take_template(void *ctx, const char *name, const char *text,
			  uint32_t size_bytes)
{
	struct watch *w = ctx;

	g_free(w->template_text);
	w->template_text = text ? g_strndup(text, size_bytes) : NULL;
	g_strlcpy(w->template, name, sizeof(w->template));
}

static void gone(void *ctx, const char *key, uint64_t revision)
{
	struct watch *w = ctx;
	int err;

	g_hash_table_remove(w->refused, key);
	if (!strcmp(key, w->vms_key)) {
		if (!w->roster_known)
			documents_roster(w, NULL);
		return;
	}
	err = spread_withdraw(w->spread, key, revision, uv_hrtime());
	if (err == -ESTALE)
		log_line(LOG_WARNING, "withdraw", key,
			 "the platform lacks it at revision %lu, which is "
			 "older than the one in force",
			 revision);
}

static void start_call(void *ctx, enum reader_call call, const char *key,
		       uint64_t after)
{
	struct watch *w = ctx;

	platform_call(w->platform, call, key, after);
}

static void cancel_call(void *ctx)
{
	struct watch *w = ctx;

	platform_cancel(w->platform);
}

static const struct version *known(void *ctx, const char *key)
{
	struct watch *w = ctx;

	return spread_version(w->spread, key);
}

static const char *each_known(void *ctx, uint32_t index)
{
	struct watch *w = ctx;
	const struct content *content;
	const struct version *version;
	const char *key;

	if (!spread_next_key(w->spread, index, &key, &version, &content))
		return NULL;
	return key;
}

static void platform_state(void *ctx, bool ok, bool caught_up)
{
	struct watch *w = ctx;

	if (ok != w->platform_ok)
		log_line(LOG_INFO, "platform", w->settings.platform_url, "%s",
			 ok ? "answers" : "not read");
	w->platform_ok = ok;
	spread_set_platform_state(w->spread, ok, caught_up, uv_hrtime());
}

/* Whether this process can read a content; only what all can read spreads. */
int documents_check(void *ctx, const char *key, const struct content *content)
{
	struct watch *w = ctx;
	struct account_conf *a;
	int32_t n;
	int err;

	if (!strcmp(key, w->vms_key)) {
		n = roster_decode(content, w->vms, VMS_MAX);
		return n < 0 ? n : 0;
	}
	if (strncmp(key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)))
		return -EINVAL;
	err = account_decode(key + strlen(ACCOUNT_PREFIX), 1, content, &a);
	/* Noted before it is in force, which waits until this VM serves. */
	if (!err)
		vips_set(w->vips, a->name, a);
	account_free(a);
	return err;
}

/**
 * documents_in_force() - a key's version is in force
 * @w: process
 * @key: key
 * @content: its content; NULL when withdrawn
 */
void documents_in_force(struct watch *w, const char *key,
			const struct content *content)
{
	if (!strcmp(key, w->vms_key)) {
		if (content)
			documents_roster(w, content);
		return;
	}
	note_vips(w, key, content);
	if (w->vips_refused)
		reader_relist(w->reader);
	w->vips_refused = false;
}

struct reader_port documents_port(struct watch *w)
{
	return (struct reader_port){
		.ctx = w,
		.start_call = start_call,
		.cancel_call = cancel_call,
		.find_version = known,
		.accept_document = take_document,
		.accept_template = take_template,
		.report_missing = gone,
		.key_at = each_known,
		.report_state = platform_state,
	};
}

void documents_free(struct watch *w)
{
	g_clear_pointer(&w->template_text, g_free);
	if (w->refused)
		g_hash_table_destroy(w->refused);
	w->refused = NULL;
	vips_free(w->vips);
	w->vips = NULL;
}
