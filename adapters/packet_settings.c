#include "packet_settings.h"

#include "policy_settings.h"
#include "settings_table.h"

#define ADDRESS(section, key, listens, member)                          \
	{                                                               \
		section, listens,                                       \
			FIELD(packet_settings, key, FIELD_ADDR, member, \
			      .required = true)                         \
	}
#define SEED(key, i)                                                      \
	{                                                                 \
		"peers", LISTEN_NOT,                                      \
			FIELD(packet_settings, key, FIELD_ADDR, seeds[i]) \
	}
#define NUMBER(section, name, low, high, usual)                        \
	{                                                              \
		section, LISTEN_NOT,                                   \
			FIELD(packet_settings, #name, FIELD_U32, name, \
			      RANGE(low, high, usual))                 \
	}

#define SECONDS(name, member, low, high, usual)                             \
	{                                                                   \
		"timing", LISTEN_NOT,                                       \
			FIELD(packet_settings, name, FIELD_SECONDS, member, \
			      RANGE(low, high, usual))                      \
	}

static const char *const formats[] = { "text", "json", NULL };
static const char *const levels[] = { "error", "warning", "info", "debug",
				      NULL };

static const struct setting table[] = {
	{ "vm", LISTEN_NOT,
	  FIELD(packet_settings, "data_centre", FIELD_NAME, data_centre,
		.required = true) },
	/* 0: the link is not known, and taken for wide enough. */
	{ "vm", LISTEN_NOT,
	  FIELD(packet_settings, "link_mbps", FIELD_DECIMAL, link_mbps,
		RANGE(0, 1000000, 0)) },
	ADDRESS("vm", "peer", LISTEN_UDP, peer),
	ADDRESS("vm", "http", LISTEN_TCP, http),
	ADDRESS("clients", "listen", LISTEN_UDP, listen),
	ADDRESS("platform", "address", LISTEN_NOT, platform),
	ADDRESS("platform", "ready", LISTEN_TCP, ready),
	SEED("seed_0", 0),
	SEED("seed_1", 1),
	SEED("seed_2", 2),
	/* One flow takes 160 bytes here. */
	NUMBER("limits", flows, 1024, 1 << 20, 32768),
	/* Lines of the log a second about single flows. */
	NUMBER("limits", decisions_per_s, 0, 100000, 20),
	SECONDS("flow_lifetime_s", flow_lifetime_ns, 1, 86400, 60),
	/* The users' platform kills 6 s after its signal. */
	SECONDS("grace_s", grace_ns, 1, 600, 6),
	/* A cold target gets no more than its rate, unless it is told so. */
	{ "limits", LISTEN_NOT,
	  FIELD(packet_settings, "cold_overrun", FIELD_DECIMAL, cold_overrun,
		RANGE(0, 1000, 1)) },
	{ "limits", LISTEN_NOT,
	  FIELD(packet_settings, "cold_slack", FIELD_DECIMAL, cold_slack,
		RANGE(0, 1000000, 0)) },
	{ "log", LISTEN_NOT,
	  FIELD(packet_settings, "level", FIELD_WORD, log.level,
		.choices = levels, .fallback = 2) },
	{ "log", LISTEN_NOT,
	  FIELD(packet_settings, "format", FIELD_CHOICE, log.format,
		.choices = formats, .fallback = LOG_JSON) },
	{ 0 }
};

/**
 * packet_settings_read() - read and check the settings of cb-packet
 * @path: file
 * @out: filled
 * @m: every mistake is added
 *
 * Return: 0; -EINVAL when there are mistakes; another negative error when the
 * file can't be read (a mistake too).
 */
int packet_settings_read(const char *path, struct packet_settings *out,
			 struct mistakes *m)
{
	struct settings_reader r;
	int err = settings_open(&r, path, m);

	if (err)
		return err;
	*out = (struct packet_settings){ .policy = policy_default };
	settings_section(&r, "policy", policy_fields, &out->policy);
	settings_take(&r, table, out);
	return settings_close(&r);
}
