#include "packet_settings.h"

#include "policy_settings.h"
#include "settings_table.h"

#define ADDRESS(section, key, listener, member)                         \
	{                                                               \
		section, listener,                                      \
			FIELD(packet_settings, key, FIELD_ADDR, member, \
			      .required = true)                         \
	}
#define SEED(key, i)                                                      \
	{                                                                 \
		"peers", LISTEN_NONE,                                     \
			FIELD(packet_settings, key, FIELD_ADDR, seeds[i]) \
	}
#define NUMBER(section, name, min, max, fallback)                      \
	{                                                              \
		section, LISTEN_NONE,                                  \
			FIELD(packet_settings, #name, FIELD_U32, name, \
			      RANGE(min, max, fallback))               \
	}

#define SECONDS(name, member, min, max, fallback)                           \
	{                                                                   \
		"timing", LISTEN_NONE,                                      \
			FIELD(packet_settings, name, FIELD_SECONDS, member, \
			      RANGE(min, max, fallback))                    \
	}

static const char *const formats[] = { "text", "json", NULL };
static const char *const levels[] = { "error", "warning", "info", "debug",
				      NULL };

static const struct setting table[] = {
	{ "vm", LISTEN_NONE,
	  FIELD(packet_settings, "data_centre", FIELD_NAME, data_centre,
		.required = true) },
	/*
	 * 0: the bandwidth of the link is unknown and assumed to be sufficient.
	 */
	{ "vm", LISTEN_NONE,
	  FIELD(packet_settings, "link_mbps", FIELD_DECIMAL, link_mbps,
		RANGE(0, 1000000, 0)) },
	ADDRESS("vm", "peer", LISTEN_UDP, peer),
	ADDRESS("vm", "http", LISTEN_TCP, http),
	ADDRESS("clients", "listen", LISTEN_UDP, listen),
	ADDRESS("platform", "address", LISTEN_NONE, platform),
	ADDRESS("platform", "ready", LISTEN_TCP, ready),
	SEED("seed_0", 0),
	SEED("seed_1", 1),
	SEED("seed_2", 2),
	/* A flow takes 160 bytes. */
	NUMBER("limits", flows, 1024, 1 << 20, 32768),
	/* Log lines per second about single flows. */
	NUMBER("limits", decisions_per_s, 0, 100000, 20),
	SECONDS("flow_lifetime_s", flow_lifetime_ns, 1, 86400, 60),
	/* The users' platform kills a process 6 s after its signal. */
	SECONDS("grace_s", grace_ns, 1, 600, 6),
	/* By default a cold target gets no more than its rate. */
	{ "limits", LISTEN_NONE,
	  FIELD(packet_settings, "cold_overrun", FIELD_DECIMAL, cold_overrun,
		RANGE(0, 1000, 1)) },
	{ "limits", LISTEN_NONE,
	  FIELD(packet_settings, "cold_slack", FIELD_DECIMAL, cold_slack,
		RANGE(0, 1000000, 0)) },
	{ "log", LISTEN_NONE,
	  FIELD(packet_settings, "level", FIELD_WORD, log.level,
		.choices = levels, .fallback = 2) },
	{ "log", LISTEN_NONE,
	  FIELD(packet_settings, "format", FIELD_CHOICE, log.format,
		.choices = formats, .fallback = LOG_JSON) },
	{ 0 }
};

/**
 * packet_settings_read() - read and check the settings of cb-packet
 * @path: file
 * @out: set to the settings; valid when 0 is returned
 * @mistakes: all mistakes of the file are added
 *
 * Return: 0; -EINVAL when the file has errors; another negative error when it
 * cannot be read, which is added as a mistake too.
 */
int packet_settings_read(const char *path, struct packet_settings *out,
			 struct mistakes *mistakes)
{
	struct settings_reader reader;
	int err = settings_open(&reader, path, mistakes);

	if (err)
		return err;
	*out = (struct packet_settings){ .policy = policy_default };
	settings_parse_section(&reader, "policy", policy_fields, &out->policy);
	settings_parse(&reader, table, out);
	return settings_close(&reader);
}
