#include "settings.h"

#include "settings_table.h"

#define ENTRY(sec, name, how, member, ...)                                  \
	{                                                                   \
		.section = sec, .key = name, .kind = how,                   \
		.offset = offsetof(struct entry_settings, member),          \
		.size_bytes = sizeof(((struct entry_settings *)0)->member), \
		__VA_ARGS__                                                 \
	}
#define WATCH(sec, name, how, member, ...)                                  \
	{                                                                   \
		.section = sec, .key = name, .kind = how,                   \
		.offset = offsetof(struct watch_settings, member),          \
		.size_bytes = sizeof(((struct watch_settings *)0)->member), \
		__VA_ARGS__                                                 \
	}
#define RANGE(low, high, usual) .min = low, .max = high, .fallback = usual

#define MS_PER_HOUR 3600000

static const char *const modes[] = { "fabric", "direct", NULL };
static const char *const formats[] = { "text", "json", NULL };
static const char *const levels[] = { "error", "warning", "info", "debug",
				      NULL };

static const struct setting entry_table[] = {
	ENTRY("vm", "data_centre", SET_NAME, data_centre, .required = true),
	ENTRY("vm", "peer", SET_ADDR, peer, .required = true,
	      .listens = LISTEN_UDP),
	ENTRY("vm", "http", SET_ADDR, http, .required = true,
	      .listens = LISTEN_TCP),
	ENTRY("vm", "watch", SET_ENDPOINT, watch, .required = true,
	      .listens = LISTEN_TCP),
	ENTRY("vm", "key", SET_KEY, key, .required = true),
	ENTRY("callers", "mode", SET_CHOICE, callers_mode, .choices = modes,
	      .fallback = CALLERS_FABRIC),
	ENTRY("callers", "listen", SET_ADDR, callers_listen,
	      .listens = LISTEN_UDP),
	ENTRY("callers", "fabric", SET_ADDR, fabric, .listens = LISTEN_UDP),
	ENTRY("targets", "source", SET_IP, target_source_ip),
	ENTRY("limits", "requests", SET_U32, requests,
	      RANGE(16, 1 << 20, 16384)),
	ENTRY("limits", "feeds", SET_U32, feeds, RANGE(16, 1 << 22, 262144)),
	ENTRY("limits", "claims", SET_U32, claims, RANGE(16, 1 << 22, 524288)),
	ENTRY("limits", "flows", SET_U32, flows, RANGE(16, 1 << 24, 524288)),
	ENTRY("limits", "peer_bytes_per_s", SET_U32, peer_bytes_per_s,
	      RANGE(1000, 1 << 30, 16000)),
	ENTRY("timing", "probe_period_ms", SET_U32, probe_period_ms,
	      RANGE(10, 60000, 200)),
	ENTRY("timing", "probe_timeout_ms", SET_U32, probe_timeout_ms,
	      RANGE(1, 60000, 100)),
	ENTRY("timing", "suspect_timeout_ms", SET_U32, suspect_timeout_ms,
	      RANGE(10, 600000, 600)),
	ENTRY("timing", "lease_ms", SET_U32, lease_ms, RANGE(10, 600000, 1000)),
	ENTRY("timing", "settle_ms", SET_U32, settle_ms,
	      RANGE(10, 600000, 500)),
	ENTRY("timing", "cover_ms", SET_U32, cover_ms,
	      RANGE(100, MS_PER_HOUR, 93000)),
	ENTRY("timing", "claim_timeout_ms", SET_U32, claim_timeout_ms,
	      RANGE(10, 60000, 200)),
	ENTRY("timing", "probe_idle_ms", SET_U32, probe_idle_ms,
	      RANGE(100, MS_PER_HOUR, 10000)),
	ENTRY("timing", "drain_ms", SET_U32, drain_ms,
	      RANGE(100, MS_PER_HOUR, 20000)),
	ENTRY("log", "level", SET_WORD, log.level, .choices = levels,
	      .fallback = 2),
	ENTRY("log", "format", SET_CHOICE, log.format, .choices = formats,
	      .fallback = LOG_TEXT),
	{ 0 }
};

static const struct setting watch_table[] = {
	WATCH("vm", "data_centre", SET_NAME, data_centre, .required = true),
	WATCH("vm", "peer", SET_ADDR, peer, .required = true,
	      .listens = LISTEN_UDP),
	WATCH("vm", "listen", SET_ENDPOINT, listen, .required = true,
	      .listens = LISTEN_TCP),
	WATCH("vm", "port", SET_U16, port, RANGE(1, UINT16_MAX, 7002)),
	WATCH("vm", "http", SET_ADDR, http, .required = true,
	      .listens = LISTEN_TCP),
	WATCH("vm", "key", SET_KEY, key, .required = true),
	WATCH("platform", "url", SET_URL, platform_url, .required = true),
	WATCH("platform", "readers", SET_U32, readers, RANGE(1, 64, 2)),
	WATCH("log", "level", SET_WORD, log.level, .choices = levels,
	      .fallback = 2),
	WATCH("log", "format", SET_CHOICE, log.format, .choices = formats,
	      .fallback = LOG_TEXT),
	{ 0 }
};

static void need(struct settings_reader *r, const char *section,
		 const char *key, uint64_t addr)
{
	if (!addr)
		settings_mistake(r, section, key, "missing",
				 "an address, since mode is \"fabric\"");
}

static void entry_relations(struct settings_reader *r, struct entry_settings *s)
{
	if (s->callers_mode == CALLERS_FABRIC) {
		need(r, "callers", "listen", s->callers_listen);
		need(r, "callers", "fabric", s->fabric);
	}
	if (s->probe_timeout_ms >= s->probe_period_ms)
		settings_mistake(r, "timing", "probe_timeout_ms",
				 "not below probe_period_ms",
				 "a timeout shorter than the period");
	if (!s->target_source_ip)
		s->target_source_ip = ADDR_IP(s->peer);
}

static void watch_relations(struct settings_reader *r, struct watch_settings *s)
{
	uint64_t listen;

	/* Peers of this VM would knock at a port where nobody listens. */
	if (!addr_parse(s->listen + sizeof(ENDPOINT_PREFIX) - 1, &listen) &&
	    ADDR_PORT(listen) != s->port)
		settings_mistake(r, "vm", "port", "differs from listen's port",
				 "the port on which peers reach this VM");
}

/**
 * entry_settings_read() - read and check the settings of cb-entry
 * @path: file
 * @out: filled
 * @m: every mistake is added
 *
 * Return: 0; -EINVAL when there are mistakes; another negative error when the
 * file can't be read (a mistake too).
 */
int entry_settings_read(const char *path, struct entry_settings *out,
			struct mistakes *m)
{
	struct settings_reader r;
	int err = settings_open(&r, path, m);

	if (err)
		return err;
	*out = (struct entry_settings){ 0 };
	settings_take(&r, entry_table, out);
	if (!settings_errors(&r))
		entry_relations(&r, out);
	return settings_close(&r);
}

/**
 * watch_settings_read() - read and check the settings of cb-watch
 * @path: file
 * @out: filled
 * @m: every mistake is added
 *
 * Return: as entry_settings_read().
 */
int watch_settings_read(const char *path, struct watch_settings *out,
			struct mistakes *m)
{
	struct settings_reader r;
	int err = settings_open(&r, path, m);

	if (err)
		return err;
	*out = (struct watch_settings){ 0 };
	settings_take(&r, watch_table, out);
	if (!settings_errors(&r))
		watch_relations(&r, out);
	return settings_close(&r);
}
