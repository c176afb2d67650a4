#include "settings.h"

#include "settings_table.h"

#define LIMIT(name, min, max, fallback)                               \
	{                                                             \
		"limits", LISTEN_NONE,                                \
			FIELD(entry_settings, #name, FIELD_U32, name, \
			      RANGE(min, max, fallback))              \
	}
#define TIMING(name, min, max, fallback)                              \
	{                                                             \
		"timing", LISTEN_NONE,                                \
			FIELD(entry_settings, #name, FIELD_U32, name, \
			      RANGE(min, max, fallback))              \
	}
#define LOG_SETTINGS(type)                                               \
	{ "log", LISTEN_NONE,                                            \
	  FIELD(type, "level", FIELD_WORD, log.level, .choices = levels, \
		.fallback = 2) },                                        \
	{                                                                \
		"log", LISTEN_NONE,                                      \
			FIELD(type, "format", FIELD_CHOICE, log.format,  \
			      .choices = formats, .fallback = LOG_TEXT)  \
	}

#define MS_PER_HOUR 3600000

static const char *const modes[] = { "fabric", "direct", NULL };
static const char *const formats[] = { "text", "json", NULL };
static const char *const levels[] = { "error", "warning", "info", "debug",
				      NULL };

static const struct setting entry_table[] = {
	{ "vm", LISTEN_NONE,
	  FIELD(entry_settings, "data_centre", FIELD_NAME, data_centre,
		.required = true) },
	{ "vm", LISTEN_UDP,
	  FIELD(entry_settings, "peer", FIELD_ADDR, peer, .required = true) },
	{ "vm", LISTEN_TCP,
	  FIELD(entry_settings, "http", FIELD_ADDR, http, .required = true) },
	{ "vm", LISTEN_TCP,
	  FIELD(entry_settings, "watch", FIELD_ENDPOINT, watch,
		.required = true) },
	{ "vm", LISTEN_NONE,
	  FIELD(entry_settings, "key", FIELD_KEY, key, .required = true) },
	{ "callers", LISTEN_NONE,
	  FIELD(entry_settings, "mode", FIELD_CHOICE, callers_mode,
		.choices = modes, .fallback = CALLERS_FABRIC) },
	{ "callers", LISTEN_UDP,
	  FIELD(entry_settings, "listen", FIELD_ADDR, callers_listen) },
	{ "callers", LISTEN_UDP,
	  FIELD(entry_settings, "fabric", FIELD_ADDR, fabric) },
	{ "targets", LISTEN_NONE,
	  FIELD(entry_settings, "source", FIELD_IP, target_source_ip) },
	LIMIT(requests, 16, 1 << 20, 16384),
	LIMIT(feeds, 16, 1 << 22, 262144),
	LIMIT(claims, 16, 1 << 22, 524288),
	LIMIT(flows, 16, 1 << 24, 524288),
	LIMIT(peer_bytes_per_s, 1000, 1 << 30, 16000),
	TIMING(probe_period_ms, 10, 60000, 200),
	TIMING(probe_timeout_ms, 1, 60000, 100),
	TIMING(suspect_timeout_ms, 10, 600000, 600),
	TIMING(lease_ms, 10, 600000, 1000),
	TIMING(settle_ms, 10, 600000, 500),
	TIMING(cover_ms, 100, MS_PER_HOUR, 93000),
	TIMING(claim_timeout_ms, 10, 60000, 200),
	TIMING(probe_idle_ms, 100, MS_PER_HOUR, 10000),
	TIMING(drain_ms, 100, MS_PER_HOUR, 20000),
	LOG_SETTINGS(entry_settings),
	{ 0 }
};

static const struct setting watch_table[] = {
	{ "vm", LISTEN_NONE,
	  FIELD(watch_settings, "data_centre", FIELD_NAME, data_centre,
		.required = true) },
	{ "vm", LISTEN_UDP,
	  FIELD(watch_settings, "peer", FIELD_ADDR, peer, .required = true) },
	{ "vm", LISTEN_TCP,
	  FIELD(watch_settings, "listen", FIELD_ENDPOINT, listen,
		.required = true) },
	{ "vm", LISTEN_NONE,
	  FIELD(watch_settings, "port", FIELD_U16, port,
		RANGE(1, UINT16_MAX, 7002)) },
	{ "vm", LISTEN_TCP,
	  FIELD(watch_settings, "http", FIELD_ADDR, http, .required = true) },
	{ "vm", LISTEN_NONE,
	  FIELD(watch_settings, "key", FIELD_KEY, key, .required = true) },
	{ "platform", LISTEN_NONE,
	  FIELD(watch_settings, "url", FIELD_URL, platform_url,
		.required = true) },
	{ "platform", LISTEN_NONE,
	  FIELD(watch_settings, "readers", FIELD_U32, readers,
		RANGE(1, 64, 2)) },
	LOG_SETTINGS(watch_settings),
	{ 0 }
};

static void require_address(struct settings_reader *reader, const char *section,
			    const char *key, uint64_t addr)
{
	if (!addr)
		settings_add_mistake(reader, section, key, "missing",
				     "an address, since mode is \"fabric\"");
}

static void check_entry_relations(struct settings_reader *reader,
				  struct entry_settings *settings)
{
	if (settings->callers_mode == CALLERS_FABRIC) {
		require_address(reader, "callers", "listen",
				settings->callers_listen);
		require_address(reader, "callers", "fabric", settings->fabric);
	}
	if (settings->probe_timeout_ms >= settings->probe_period_ms)
		settings_add_mistake(reader, "timing", "probe_timeout_ms",
				     "not below probe_period_ms",
				     "a timeout shorter than the period");
	if (!settings->target_source_ip)
		settings->target_source_ip = ADDR_IP(settings->peer);
}

static void check_watch_relations(struct settings_reader *reader,
				  struct watch_settings *settings)
{
	uint64_t listen;

	/*
	 * Peers connect to this port on every VM, and would find nobody
	 * listening.
	 */
	if (!addr_parse(settings->listen + sizeof(ENDPOINT_PREFIX) - 1,
			&listen) &&
	    ADDR_PORT(listen) != settings->port)
		settings_add_mistake(reader, "vm", "port",
				     "differs from listen's port",
				     "the port on which peers reach this VM");
}

/**
 * entry_settings_read() - read and check the settings of cb-entry
 * @path: file
 * @out: set to the settings; valid when 0 is returned
 * @mistakes: all mistakes of the file are added
 *
 * Return: 0; -EINVAL when the file has errors; another negative error when it
 * cannot be read, which is added as a mistake too.
 */
int entry_settings_read(const char *path, struct entry_settings *out,
			struct mistakes *mistakes)
{
	struct settings_reader reader;
	int err = settings_open(&reader, path, mistakes);

	if (err)
		return err;
	*out = (struct entry_settings){ 0 };
	settings_parse(&reader, entry_table, out);
	if (!settings_error_count(&reader))
		check_entry_relations(&reader, out);
	return settings_close(&reader);
}

/**
 * watch_settings_read() - read and check the settings of cb-watch
 * @path: file
 * @out: set to the settings; valid when 0 is returned
 * @mistakes: all mistakes of the file are added
 *
 * Return: as entry_settings_read().
 */
int watch_settings_read(const char *path, struct watch_settings *out,
			struct mistakes *mistakes)
{
	struct settings_reader reader;
	int err = settings_open(&reader, path, mistakes);

	if (err)
		return err;
	*out = (struct watch_settings){ 0 };
	settings_parse(&reader, watch_table, out);
	if (!settings_error_count(&reader))
		check_watch_relations(&reader, out);
	return settings_close(&reader);
}
