/*
 * Documents of the platform: rendered, checked and published to the spread,
 * which sends them to the other VMs.
 */
#include "watch.h"

#include "account_codec.h"
#include "log.h"
#include "publication.h"

#include <errno.h>
#include <string.h>

#define ACCOUNT_PREFIX "account/"

/**
 * struct rendering - context of rendering one account's document
 * @watch: process
 * @missing_template: name of a template that the document needs and that was
 *	not read yet; empty for none
 */
struct rendering {
	const struct watch *watch;
	char missing_template[NAME_MAX_BYTES];
};

static const char *find_template(void *ctx, const char *name)
{
	struct rendering *rendering = ctx;

	if (!strcmp(name, rendering->watch->template_name))
		return rendering->watch->template_text;
	g_strlcpy(rendering->missing_template, name,
		  sizeof(rendering->missing_template));
	return NULL;
}

static void record_refusal(struct watch *w, const char *key, const char *reason)
{
	log_line(LOG_ERROR, "publish", key, "refused: %s", reason);
	g_hash_table_replace(w->refusals, g_strdup(key), g_strdup(reason));
}

static void record_mistakes(struct watch *w, const char *key,
			    const struct mistakes *mistakes)
{
	GString *reason = g_string_new(NULL);

	for (uint32_t i = 0; i < mistakes->n; i++) {
		const struct mistake *mistake = &mistakes->list[i];

		if (mistake->is_warning)
			continue;
		g_string_append_printf(reason, "%s%s:%u: %s: %s, expected %s",
				       reason->len ? "; " : "",
				       mistake->document, mistake->line,
				       mistake->key, mistake->problem,
				       mistake->expected);
	}
	record_refusal(w, key, reason->str);
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

static int publish_content(struct watch *w, const char *key,
			   uint64_t generation, uint64_t revision,
			   const struct content *content)
{
	int err = spread_publish(w->spread, key, generation, revision, content,
				 uv_hrtime());

	if (err && err != -EALREADY)
		record_refusal(w, key, publish_problem(err));
	else
		g_hash_table_remove(w->refusals, key);
	return err;
}

/**
 * documents_apply_roster() - pass the list of VMs to the spread
 * @w: process
 * @content: encoded list; NULL when the platform has none
 */
void documents_apply_roster(struct watch *w, const struct content *content)
{
	int32_t n =
		content ? roster_decode(content, w->vms_scratch, VMS_MAX) : 0;

	if (n < 0) {
		log_line(LOG_ERROR, "roster", w->vms_key,
			 "can't decode the list of VMs: %s", strerror(-n));
		return;
	}
	w->has_roster = true;
	spread_set_roster(w->spread, w->vms_scratch, (uint32_t)n, uv_hrtime());
}

static int publish_roster(struct watch *w, const char *key, const char *text,
			  uint32_t size_bytes, uint64_t revision)
{
	struct content *content;
	int err = roster_encode(text, size_bytes, &content);

	if (err) {
		record_refusal(w, key, "expected lines of ADDRESS STATE");
		return err;
	}
	err = publish_content(w, key, revision, revision, content);
	content_free(content);
	return err;
}

static void update_vips(struct watch *w, const char *key,
			const struct content *content)
{
	const char *name = key + strlen(ACCOUNT_PREFIX);
	struct account_conf *account = NULL;

	if (content && account_decode(name, 1, content, &account))
		return;
	vips_set(w->vips, name, account);
	account_free(account);
}

static int publish_account(struct watch *w, const char *key, uint64_t revision,
			   struct account_conf *account)
{
	struct content *content;
	int err = account_encode(account, &content);

	if (err)
		return err;
	err = publish_content(w, key, account->generation, revision, content);
	content_free(content);
	/* Undo what documents_check_content() stored: it is not in force. */
	if (err)
		update_vips(w, key, spread_content(w->spread, key));
	return err;
}

/*
 * If two accounts had the same VIP, its callers would reach the targets of the
 * account that an entry finds first. The account in force keeps the VIP. The
 * other account is refused as a whole, and read again when the accounts in
 * force change. Return: whether there is no conflict.
 */
static bool check_vip_conflicts(struct watch *w, const char *key,
				const char *text, struct template_source source,
				struct mistakes *mistakes)
{
	vips_check(w->vips, key + strlen(ACCOUNT_PREFIX), text, source,
		   mistakes);
	if (!mistakes->n_errors)
		return true;
	w->has_vip_conflict = true;
	return false;
}

static int render_and_publish(struct watch *w, const char *key,
			      const char *text, uint64_t revision,
			      char template[NAME_MAX_BYTES])
{
	struct rendering rendering = { .watch = w };
	struct template_source source = { &rendering, find_template };
	struct mistakes mistakes = { 0 };
	struct account_conf *account;
	int err = -EINVAL;

	account = publication_render(key + strlen(ACCOUNT_PREFIX), text, source,
				     w->settings.data_centre, &mistakes);
	if (rendering.missing_template[0] && template) {
		g_strlcpy(template, rendering.missing_template, NAME_MAX_BYTES);
		err = -ENOENT;
	} else if (!account ||
		   !check_vip_conflicts(w, key, text, source, &mistakes)) {
		record_mistakes(w, key, &mistakes);
	} else {
		err = publish_account(w, key, revision, account);
	}
	account_free(account);
	mistakes_free(&mistakes);
	return err;
}

static int accept_document(void *ctx, const char *key, const char *text,
			   uint32_t size_bytes, uint64_t revision,
			   char template[NAME_MAX_BYTES])
{
	struct watch *w = ctx;
	char *copy;
	int err;

	if (!strcmp(key, w->vms_key))
		return publish_roster(w, key, text, size_bytes, revision);
	if (template) {
		g_clear_pointer(&w->template_text, g_free);
		w->template_name[0] = 0;
	}
	copy = g_strndup(text, size_bytes);
	err = render_and_publish(w, key, copy, revision, template);
	g_free(copy);
	return err;
}

static void accept_template(void *ctx, const char *name, const char *text,
			    uint32_t size_bytes)
{
	struct watch *w = ctx;

	g_free(w->template_text);
	w->template_text = text ? g_strndup(text, size_bytes) : NULL;
	g_strlcpy(w->template_name, name, sizeof(w->template_name));
}

static void report_missing(void *ctx, const char *key, uint64_t revision)
{
	struct watch *w = ctx;
	int err;

	g_hash_table_remove(w->refusals, key);
	if (!strcmp(key, w->vms_key)) {
		if (!w->has_roster)
			documents_apply_roster(w, NULL);
		return;
	}
	err = spread_withdraw(w->spread, key, revision, uv_hrtime());
	if (err == -ESTALE)
		log_line(LOG_WARNING, "withdraw", key,
			 "not withdrawn: missing at revision %lu, which is "
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

static const struct version *find_version(void *ctx, const char *key)
{
	struct watch *w = ctx;

	return spread_version(w->spread, key);
}

static const char *key_at(void *ctx, uint32_t index)
{
	struct watch *w = ctx;
	const struct content *content;
	const struct version *version;
	const char *key;

	if (!spread_next_key(w->spread, index, &key, &version, &content))
		return NULL;
	return key;
}

static void report_state(void *ctx, bool ok, bool caught_up)
{
	struct watch *w = ctx;

	if (ok != w->platform_ok)
		log_line(LOG_INFO, "platform", w->settings.platform_url, "%s",
			 ok ? "answers" : "not read");
	w->platform_ok = ok;
	spread_set_platform_state(w->spread, ok, caught_up, uv_hrtime());
}

/**
 * documents_check_content() - check that this process can decode a content
 * @ctx: struct watch
 * @key: key
 * @content: encoded content
 *
 * Content that a VM can't decode is not sent on. The VIPs of an account are
 * stored for checks of other accounts.
 *
 * Return: 0 or a negative error.
 */
int documents_check_content(void *ctx, const char *key,
			    const struct content *content)
{
	struct watch *w = ctx;
	struct account_conf *account;
	int32_t n;
	int err;

	if (!strcmp(key, w->vms_key)) {
		n = roster_decode(content, w->vms_scratch, VMS_MAX);
		return n < 0 ? n : 0;
	}
	if (strncmp(key, ACCOUNT_PREFIX, strlen(ACCOUNT_PREFIX)))
		return -EINVAL;
	err = account_decode(key + strlen(ACCOUNT_PREFIX), 1, content,
			     &account);
	/* Stored before it is in force, which waits until this VM serves. */
	if (!err)
		vips_set(w->vips, account->name, account);
	account_free(account);
	return err;
}

/**
 * documents_put_in_force() - apply a version that came into force
 * @w: process
 * @key: key
 * @content: its content; NULL when it was withdrawn
 */
void documents_put_in_force(struct watch *w, const char *key,
			    const struct content *content)
{
	if (!strcmp(key, w->vms_key)) {
		if (content)
			documents_apply_roster(w, content);
		return;
	}
	update_vips(w, key, content);
	if (w->has_vip_conflict)
		reader_relist(w->reader);
	w->has_vip_conflict = false;
}

/**
 * documents_port() - callbacks for the reader of the platform
 * @w: process
 *
 * Return: port.
 */
struct reader_port documents_port(struct watch *w)
{
	return (struct reader_port){
		.ctx = w,
		.start_call = start_call,
		.cancel_call = cancel_call,
		.find_version = find_version,
		.accept_document = accept_document,
		.accept_template = accept_template,
		.report_missing = report_missing,
		.key_at = key_at,
		.report_state = report_state,
	};
}

/**
 * documents_free() - free templates, refusals and VIPs
 * @w: process
 */
void documents_free(struct watch *w)
{
	g_clear_pointer(&w->template_text, g_free);
	if (w->refusals)
		g_hash_table_destroy(w->refusals);
	w->refusals = NULL;
	vips_free(w->vips);
	w->vips = NULL;
}
