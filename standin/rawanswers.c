/* Answers of spinst that are sent as a file has them (rawtext.h). */
#include <string.h>
#include <sys/socket.h>

#include "standin/inst.h"
#include "standin/rawtext.h"

static GArray *answers; /* of RawLine */

int
load_raw_answers(const char *file)
{
    answers = read_raw_lines(file);
    return answers != NULL;
}

static const RawLine *
find_answer(const Request *r)
{
    const char *at = strstr(r->path, RAW_PATH);
    guint i;

    for (i = 0; at && i < answers->len; i++) {
        const RawLine *l = &g_array_index(answers, RawLine, i);
        if (strcmp(l->name, at + strlen(RAW_PATH)) == 0) {
            return l;
        }
    }
    return NULL;
}

/* Returns the lines that name the request in its answer. */
static char *
format_names(const Request *r)
{
    char *run = inst.names_runs ? g_strdup_printf("sp-run: %s\r\n", r->run)
                                : g_strdup("");
    char *s = g_strdup_printf("Siskinpond-Attempt-Id: %s\r\n"
                              "Siskinpond-Response-Signature: sig.%s\r\n%s",
                              r->id, r->id, run);

    g_free(run);
    return s;
}

/* Reads what the peer sends until it closes the connection. */
static void
drain(int fd)
{
    char buf[4096];

    while (recv(fd, buf, sizeof buf, 0) > 0) {
    }
}

int
send_raw_answer(int fd, const Request *r)
{
    const RawLine *l = find_answer(r);
    GString *s;
    char *names;

    if (!l) {
        return 0;
    }
    names = format_names(r);
    s = expand_raw(l->bytes, names);
    (void)send_all(fd, s->str, s->len);
    g_string_free(s, TRUE);
    g_free(names);
    if (strcmp(l->end, "reset") == 0) {
        reset_on_close(fd);
    }
    else if (strcmp(l->end, "keep") != 0) {
        shutdown(fd, SHUT_WR);
    }
    if (strcmp(l->end, "close") == 0) {
        drain(fd);
    }
    return strcmp(l->end, "keep") == 0;
}
