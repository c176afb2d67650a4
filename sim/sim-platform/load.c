#include "platform.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

static int load_dir(struct key_store *store, const char *dir,
		    const char *prefix, const char *program);

static int load_file(struct key_store *store, const char *path, const char *key,
		     const char *program)
{
	GError *error = NULL;
	uint64_t revision;
	char *value;
	gsize size_bytes;
	int rc;

	if (!g_file_get_contents(path, &value, &size_bytes, &error)) {
		fprintf(stderr, "%s: load %s: %s\n", program, path,
			error->message);
		g_error_free(error);
		return -EIO;
	}
	rc = key_store_put(store, key, value, size_bytes, &revision);
	if (rc)
		fprintf(stderr, "%s: load %s: %s\n", program, path,
			strerror(-rc));
	g_free(value);
	return rc;
}

static int load_name(struct key_store *store, const char *dir,
		     const char *prefix, const char *name, const char *program)
{
	char *path = g_build_filename(dir, name, NULL);
	char *key = g_strconcat(prefix, name, NULL);
	char *below = g_strconcat(key, "/", NULL);
	int rc;

	if (g_file_test(path, G_FILE_TEST_IS_DIR))
		rc = load_dir(store, path, below, program);
	else
		rc = load_file(store, path, key, program);
	g_free(below);
	g_free(key);
	g_free(path);
	return rc;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Sorts the names, so that the same directory gives the same revisions. */
static GPtrArray *sorted_names(GDir *d)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	const char *name;

	while ((name = g_dir_read_name(d))) {
		if (*name != '.')
			g_ptr_array_add(names, g_strdup(name));
	}
	g_ptr_array_sort(names, by_name);
	return names;
}

static int load_dir(struct key_store *store, const char *dir,
		    const char *prefix, const char *program)
{
	GError *error = NULL;
	GDir *d = g_dir_open(dir, 0, &error);
	GPtrArray *names;
	guint i;
	int rc = 0;

	if (!d) {
		fprintf(stderr, "%s: load %s: %s\n", program, dir,
			error->message);
		g_error_free(error);
		return -EIO;
	}
	names = sorted_names(d);
	g_dir_close(d);
	for (i = 0; i < names->len && !rc; i++)
		rc = load_name(store, dir, prefix, g_ptr_array_index(names, i),
			       program);
	g_ptr_array_free(names, TRUE);
	return rc;
}

/**
 * key_store_load() - load keys from the files of a directory
 * @store: key store
 * @dir: directory; the file DIR/account/x becomes the key account/x
 * @program: program name for error messages
 *
 * Return: 0, or a negative errno value after printing an error message.
 */
int key_store_load(struct key_store *store, const char *dir,
		   const char *program)
{
	return load_dir(store, dir, "", program);
}
