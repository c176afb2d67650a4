/* Starts, terminates, freezes and kills the cb-packet processes. */
#include "soak.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define SEEDS 3
#define DECISIONS_PER_S 20
#define READY_TIMEOUT_MS 400
/* The router takes an entry as not ready if the last answer is older. */
#define READY_VALID_NS (900 * NS_PER_MS)

static void settings_path(const struct soak *s, uint32_t i, char out[512])
{
	snprintf(out, 512, "%s/entry-%u.toml", s->dir, i);
}

static void write_settings(const struct soak *s, uint32_t i,
			   uint32_t decisions_per_s)
{
	uint32_t zone = s->world->entries[i].zone;
	char path[512];
	FILE *f;

	settings_path(s, i, path);
	f = fopen(path, "w");
	if (!f)
		return;
	fprintf(f,
		"[vm]\ndata_centre = \"zone%u\"\n"
		"peer = \"127.3.0.%u:%d\"\nhttp = \"127.3.0.%u:%d\"\n",
		zone, i + 1, PEER_PORT, i + 1, HTTP_PORT);
	fprintf(f,
		"[clients]\nlisten = \"127.3.0.%u:%d\"\n"
		"[platform]\naddress = \"127.4.0.%u:%d\"\n"
		"ready = \"127.3.0.%u:%d\"\n",
		i + 1, CLIENT_PORT, i + 1, STORE_PORT, i + 1, READY_PORT);
	fprintf(f, "[peers]\n");
	for (uint32_t seed = 0; seed < SEEDS; seed++)
		fprintf(f, "seed_%u = \"127.3.0.%u:%d\"\n", seed, seed + 1,
			HTTP_PORT);
	fprintf(f, "[limits]\nflows = 4096\ndecisions_per_s = %u\n",
		decisions_per_s);
	fclose(f);
}

static void on_exited(uv_process_t *process, int64_t status, int signal)
{
	struct soak_entry *e = process->data;
	struct soak *s = e->soak;

	e->running = false;
	e->ready = false;
	uv_close((uv_handle_t *)process, NULL);
	soak_advance(s);
	if (status || (signal && signal != SIGKILL)) {
		/* An exit that no fault caused fails the run. */
		fprintf(stderr, "entry %u exited: status %d, signal %d\n",
			e->index, (int)status, signal);
		s->world->report.broken++;
	}
	if (s->world->entries[e->index].up)
		world_entry_ended(s->world, e->index);
}

static void start_process(void *ctx, struct world *w, uint32_t entry)
{
	struct soak *s = ctx;
	struct soak_entry *e = &s->entries[entry];
	uv_stdio_container_t io[3] = { { .flags = UV_IGNORE } };
	uv_process_options_t options = { 0 };
	char settings[512], log[512];
	char *args[] = { (char *)s->program, "--settings", settings, NULL };

	w->entries[entry].up = true;
	w->entries[entry].frozen = false;
	if (e->running)
		/* Still exiting; on_exited() calls world_entry_ended(), which
		 * restarts it. */
		return;
	settings_path(s, entry, settings);
	snprintf(log, sizeof(log), "%s/entry-%u.log", s->dir, entry);
	s->world = w;
	write_settings(s, entry, DECISIONS_PER_S);
	io[1].flags = io[2].flags = UV_INHERIT_FD;
	io[1].data.fd = io[2].data.fd =
		open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	options.file = s->program;
	options.args = args;
	options.exit_cb = on_exited;
	options.stdio = io;
	options.stdio_count = 3;
	e->process.data = e;
	if (uv_spawn(&s->loop, &e->process, &options))
		fprintf(stderr, "%s: cannot start the process\n", s->program);
	else
		e->running = true;
	close(io[1].data.fd);
}

static void send_signal(struct soak *s, uint32_t entry, int number)
{
	if (s->entries[entry].running)
		uv_process_kill(&s->entries[entry].process, number);
}

static void kill_process(void *ctx, struct world *w, uint32_t entry)
{
	(void)w;
	send_signal(ctx, entry, SIGKILL);
}

static void terminate_process(void *ctx, struct world *w, uint32_t entry)
{
	(void)w;
	send_signal(ctx, entry, SIGTERM);
}

static void freeze_process(void *ctx, struct world *w, uint32_t entry,
			   bool frozen)
{
	w->entries[entry].frozen = frozen;
	send_signal(ctx, entry, frozen ? SIGSTOP : SIGCONT);
}

static bool entry_is_ready(void *ctx, struct world *w, uint32_t entry)
{
	const struct soak *s = ctx;
	const struct soak_entry *e = &s->entries[entry];

	(void)w;
	return e->running && e->ready &&
	       uv_hrtime() < e->ready_ns + READY_VALID_NS;
}

static void send_packet(void *ctx, struct world *w, uint32_t entry,
			const struct sim_packet *sent)
{
	(void)w;
	sockets_send_packet(ctx, entry, sent);
}

static void update_target(void *ctx, struct world *w, uint32_t i)
{
	struct soak *s = ctx;

	s->world = w;
	sockets_update_target(s, i);
}

/**
 * processes_driver() - entry driver of the world that runs real processes
 * @s: run, must outlive the world
 *
 * Return: driver with @s as its context.
 */
struct entry_driver processes_driver(struct soak *s)
{
	return (struct entry_driver){ s,
				      start_process,
				      kill_process,
				      terminate_process,
				      freeze_process,
				      entry_is_ready,
				      send_packet,
				      update_target };
}

static void on_readiness(void *ctx, const struct http_reply *r)
{
	struct soak_entry *e = ctx;

	e->ready = !r->err && r->status == 200;
	e->ready_ns = uv_hrtime();
}

/**
 * processes_open() - open the readiness clients of all entries
 * @s: run with the world set
 *
 * Return: 0 or -ENOMEM.
 */
int processes_open(struct soak *s)
{
	int err = 0;

	for (uint32_t i = 0; !err && i < s->world->n_entries; i++) {
		struct soak_entry *e = &s->entries[i];
		struct http_client_handler handler = { e, on_readiness, NULL };

		err = http_client_open(&s->loop, handler, &e->readiness_client);
	}
	return err;
}

/**
 * processes_poll_readiness() - request /readiness of all entries
 * @s: run
 *
 * Skips entries whose previous request has not ended.
 */
void processes_poll_readiness(struct soak *s)
{
	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		struct soak_entry *e = &s->entries[i];

		if (e->readiness_client &&
		    !http_client_is_busy(e->readiness_client))
			http_client_get(e->readiness_client,
					ADDR(PEER_IP + i, READY_PORT),
					"/readiness", READY_TIMEOUT_MS);
	}
}

/**
 * processes_reload() - change the settings of all entries, reload every other
 * @s: run
 *
 * Entries with an even number get a SIGHUP.
 */
void processes_reload(struct soak *s)
{
	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		write_settings(s, i, DECISIONS_PER_S + 1);
		if (i % 2 == 0)
			send_signal(s, i, SIGHUP);
	}
}

/**
 * processes_kill() - kill all processes of the run and wait for their exit
 * @s: run
 */
void processes_kill(struct soak *s)
{
	for (uint32_t i = 0; i < s->world->n_entries; i++) {
		s->world->entries[i].up = false;
		send_signal(s, i, SIGKILL);
	}
	for (uint32_t i = 0; i < s->world->n_entries; i++)
		while (s->entries[i].running)
			uv_run(&s->loop, UV_RUN_ONCE);
	for (uint32_t i = 0; i < s->world->n_entries; i++)
		http_client_close(s->entries[i].readiness_client);
}
