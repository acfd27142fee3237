/*
 * Finds from log files what became of a request, by its id. spctl trace prints
 * the log lines of all processes on it in order of time; spctl explain states
 * in sentences what they mean.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"
#include "cmd/ctl.h"

#define VALUE_BYTES 256
/* State changes of nodes are shown from this long before the request. */
#define STATE_LEAD_S 2.0

typedef struct Line {
    double at; /* wall clock, seconds */
    char *text;
} Line;

typedef struct Logs {
    const char *id;
    GArray *matched;       /* of Line: on the request and its calls */
    GArray *state_changes; /* of Line: changes of state at nodes */
    double left_out;       /* log lines that nodes dropped */
    size_t lines;
} Logs;

/* Events by which a node's view of itself or of others changes. */
static const char *const state_events[] = {
    "link-lost",       "instance-down", "instance-leaving", "instance-up",
    "config",          "store-lost",    "store-back",       "stood-still",
    "config-unusable", "stopping",      "started",          NULL};

/*
 * Explanations of events on a request. The first match is used; $key is
 * replaced by the value of that key in the line.
 */
typedef struct Explanation {
    const char *event;
    const char *key, *value; /* NULL: matches any */
    const char *text;
} Explanation;

static const Explanation explanations[] = {
    {"call-refused", "kind", "no-config",
     "$name had no configuration yet: not run"},
    {"call-refused", "kind", "no-route",
     "no route of configuration $config matches it: not run"},
    {"call-refused", "kind", "bad-request",
     "it names no host or no usable id: not run"},
    {"call-refused", "kind", "leaving",
     "$name was stopping and accepted no new requests: not run"},
    {"call-refused", "tried", "0",
     "$name refused it before sending it ($kind): its rank was $rank, and "
     "route $route admitted a share of $share: not run"},
    {"call-refused", "status", "503",
     "$name gave up after $ms ms, instances tried: $tried ($kind): not run"},
    {"call-refused", "status", "504",
     "$name had no answer by its deadline, after $ms ms: it may have run"},
    {"call-refused", "status", "502",
     "$name lost the answer after $ms ms ($kind): it may have run"},
    {"call-refused", NULL, NULL, "$name answered $status ($kind)"},
    {"call-failed", NULL, NULL,
     "the instance at $at answered $status after $ms ms: it ran"},
    {"caller-left", NULL, NULL, "its caller disconnected after $ms ms"},
    {"send-ended", "outcome", "unknown",
     "what $at did with it is not known ($kind)"},
    {"send-ended", "outcome", "not-run", "$at did not run it ($kind)"},
    {"send-ended", NULL, NULL, "at $at it ended with status $status ($kind)"},
    {"run-refused", "kind", "shed",
     "$name had no room: $running ran and $queued waited at a limit of "
     "$limit; it would have waited $wait_ms ms with $left_ms ms left"},
    {"run-refused", "kind", "late",
     "it waited at $name until $left_ms ms were left; $running ran and "
     "$queued waited at a limit of $limit"},
    {"run-refused", "kind", "no-target",
     "the instance of $name accepted no work: down, silent or not known yet"},
    {"run-refused", "kind", "leaving", "the instance of $name was leaving"},
    {"run-refused", NULL, NULL, "$name did not run it ($kind)"},
    {"run-lost", NULL, NULL,
     "instance $instance failed after $ms ms ($why), before its response was "
     "complete"},
    {"run-cut", NULL, NULL,
     "instance $instance gave no response by the deadline; aborted after $ms "
     "ms"},
    {"run-rejected", NULL, NULL,
     "instance $instance said that it had not run it (status $status, "
     "connection $conn)"},
    {"refusal-unstated", NULL, NULL,
     "instance $instance answered $status without saying that it had not run "
     "it: it may have run"},
    {"run-detached", NULL, NULL,
     "nobody waited for it any more: it ran on at $instance"},
    {"run-unqueued", NULL, NULL,
     "it had waited $ms ms at $name, where $running ran and $queued waited, "
     "when nobody waited for it any more: it did not run"},
    {"run-dropped", NULL, NULL,
     "nobody waited for it any more: taken back from $instance after $ms ms"},
};

/* Copies the value of a key. Keys after event= take precedence, as they may
   have the name of one before it. Returns 0 if there is none. */
static int
get_value(const char *text, const char *key, char *to, size_t n)
{
    const char *fields = strstr(text, " event=");

    return (fields && ctl_pair(fields + 1, key, to, n)) ||
           ctl_pair(text, key, to, n);
}

static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const Line *x = a, *y = b;

    return x->at < y->at ? -1 : x->at > y->at;
}

/* Reports whether id is that of the request, or of a call made by its run:
   these begin with the id of the request. */
static int
is_id_of(const char *id, const char *of)
{
    size_t n = strlen(of);

    return strncmp(id, of, n) == 0 && !g_ascii_isalnum(id[n]);
}

static void
parse_line(Logs *l, const char *text)
{
    char value[VALUE_BYTES];
    Line line;

    l->lines++;
    if (!ctl_pair(text, "at", value, sizeof value)) {
        return; /* not written by the logger */
    }
    line.at = g_ascii_strtod(value, NULL);
    if (ctl_pair(text, "id", value, sizeof value)) {
        if (is_id_of(value, l->id)) {
            line.text = g_strdup(text);
            g_array_append_val(l->matched, line);
        }
        return;
    }
    if (!ctl_pair(text, "event", value, sizeof value)) {
        return;
    }
    if (g_strv_contains(state_events, value)) {
        line.text = g_strdup(text);
        g_array_append_val(l->state_changes, line);
    }
    else if (strcmp(value, "log-lines-left-out") == 0 &&
             ctl_pair(text, "lines", value, sizeof value)) {
        l->left_out += g_ascii_strtod(value, NULL);
    }
}

static int
read_log(Logs *l, const char *file)
{
    FILE *f = strcmp(file, "-") == 0 ? stdin : fopen(file, "r");
    char *text = NULL;
    size_t room = 0;
    ssize_t n;

    if (!f) {
        fprintf(stderr, "spctl: %s: %s\n", file, g_strerror(errno));
        return 0;
    }
    while ((n = getline(&text, &room, f)) > 0) {
        if (text[n - 1] == '\n') {
            text[n - 1] = '\0';
        }
        parse_line(l, text);
    }
    free(text);
    if (f != stdin) {
        fclose(f);
    }
    return 1;
}

/* Reads the log files of the command line; returns 0 if one cannot be read or
   none is given. */
static int
read_logs(Logs *l, int argc, char **argv)
{
    int i;

    if (argc < 3) {
        fprintf(stderr, "spctl: usage: spctl %s ID FILE..\n", argv[0]);
        return 0;
    }
    l->id = argv[1];
    l->matched = g_array_new(FALSE, FALSE, sizeof(Line));
    l->state_changes = g_array_new(FALSE, FALSE, sizeof(Line));
    for (i = 2; i < argc; i++) {
        if (!read_log(l, argv[i])) {
            return 0;
        }
    }
    g_array_sort(l->matched, compare_time);
    g_array_sort(l->state_changes, compare_time);
    return 1;
}

static int
print_not_found(const Logs *l)
{
    printf("%s: nothing was logged of it in %zu lines: it was answered well, "
           "or never arrived",
           l->id, l->lines);
    if (l->left_out > 0) {
        printf(", or is among the %.0f lines that were left out", l->left_out);
    }
    printf("\n");
    return 1;
}

int
run_trace(int argc, char **argv)
{
    Logs l = {0};
    guint i;

    if (!read_logs(&l, argc, argv)) {
        return 2;
    }
    for (i = 0; i < l.matched->len; i++) {
        printf("%s\n", g_array_index(l.matched, Line, i).text);
    }
    return l.matched->len ? 0 : print_not_found(&l);
}

static int
matches(const Explanation *m, const char *text)
{
    char value[VALUE_BYTES];

    return ctl_pair(text, "event", value, sizeof value) &&
           strcmp(value, m->event) == 0 &&
           (!m->key || (get_value(text, m->key, value, sizeof value) &&
                        strcmp(value, m->value) == 0));
}

/* Prints an explanation with the values of its line. */
static void
print_explanation(const char *format, const char *text)
{
    char key[32], value[VALUE_BYTES];
    size_t n;

    for (; *format; format++) {
        if (*format != '$') {
            putchar(*format);
            continue;
        }
        n = strspn(format + 1, "abcdefghijklmnopqrstuvwxyz_");
        g_strlcpy(key, format + 1, MIN(n + 1, sizeof key));
        printf("%s", get_value(text, key, value, sizeof value) ? value : "?");
        format += n;
    }
    putchar('\n');
}

static void
explain_line(const Logs *l, const Line *line)
{
    char id[VALUE_BYTES];
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(explanations); i++) {
        if (matches(&explanations[i], line->text)) {
            break;
        }
    }
    if (i == G_N_ELEMENTS(explanations)) {
        return;
    }
    ctl_pair(line->text, "id", id, sizeof id);
    printf("%+8.3f s  ", line->at - g_array_index(l->matched, Line, 0).at);
    if (strcmp(id, l->id) != 0) {
        printf("its call %s: ", id);
    }
    print_explanation(explanations[i].text, line->text);
}

/* Reports whether the line is from a node that handled the request, or names
   one. */
static int
involves_request_node(const Logs *l, const Line *change)
{
    static const char *const keys[] = {"name", "at"};
    char node[VALUE_BYTES], other[VALUE_BYTES], peer[VALUE_BYTES];
    size_t k;
    guint i;

    ctl_pair(change->text, "name", other, sizeof other);
    if (!ctl_pair(change->text, "peer", peer, sizeof peer)) {
        peer[0] = '\0';
    }
    for (i = 0; i < l->matched->len; i++) {
        const char *text = g_array_index(l->matched, Line, i).text;
        for (k = 0; k < G_N_ELEMENTS(keys); k++) {
            if (get_value(text, keys[k], node, sizeof node) &&
                (strcmp(node, other) == 0 || strcmp(node, peer) == 0)) {
                return 1;
            }
        }
    }
    return 0;
}

static void
print_state_changes(const Logs *l)
{
    double from = g_array_index(l->matched, Line, 0).at - STATE_LEAD_S;
    double to = g_array_index(l->matched, Line, l->matched->len - 1).at;
    int printed = 0;
    guint i;

    for (i = 0; i < l->state_changes->len; i++) {
        const Line *change = &g_array_index(l->state_changes, Line, i);
        if (change->at < from || change->at > to ||
            !involves_request_node(l, change)) {
            continue;
        }
        if (!printed++) {
            printf("what its nodes came to believe meanwhile:\n");
        }
        printf("%+8.3f s  %s\n", change->at - (from + STATE_LEAD_S),
               strstr(change->text, "name="));
    }
}

int
run_explain(int argc, char **argv)
{
    Logs l = {0};
    guint i;

    if (!read_logs(&l, argc, argv)) {
        return 2;
    }
    if (!l.matched->len) {
        return print_not_found(&l);
    }
    printf("%s:\n", l.id);
    for (i = 0; i < l.matched->len; i++) {
        explain_line(&l, &g_array_index(l.matched, Line, i));
    }
    print_state_changes(&l);
    if (l.left_out > 0) {
        printf("%.0f lines were left out of these logs\n", l.left_out);
    }
    return 0;
}
