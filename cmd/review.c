/* spctl timeline: the events of all nodes in one order. spctl review: a
   summary of an interval. */
#include <string.h>

#include "base/base.h"
#include "cmd/ctl.h"

#define MAX_SOURCES 1024
#define SVG_WIDTH 1000
#define SVG_ROW 18
#define SVG_LEFT 140

typedef struct Event {
    int64_t ms;     /* wall clock part of hlc= */
    unsigned count; /* counter part of hlc= */
    char node[SP_NAME_BYTES];
    char kind[32];
    char *text; /* the key=value pairs after event= */
} Event;

typedef struct Query {
    int64_t from, to; /* wall clock, ms */
    const char *node, *kind, *match, *svg, *trace;
    const char *sources[MAX_SOURCES];
    int nsources;
} Query;

static GArray *events;     /* of Event */
static GPtrArray *unknown; /* messages on sources that lack data */

int
ctl_pair(const char *line, const char *key, char *to, size_t n)
{
    size_t k = strlen(key), i = 0;
    const char *p = line;
    int quoted;

    while ((p = strstr(p, key)) != NULL) {
        if ((p == line || p[-1] == ' ') && p[k] == '=') {
            break;
        }
        p += k;
    }
    if (!p) {
        return 0;
    }
    p += k + 1;
    quoted = *p == '"';
    while (*p && i + 1 < n) {
        if (!quoted && *p == ' ') {
            break;
        }
        if (quoted && i > 0 && *p == '"' && p[-1] != '\\') {
            to[i++] = '"';
            break;
        }
        to[i++] = *p++;
    }
    to[i] = '\0';
    return 1;
}

static void
parse_line(const char *line, const char *fallback_node)
{
    char hlc[40], *dot;
    const char *p;
    Event e = {0};

    if (!ctl_pair(line, "hlc", hlc, sizeof hlc) ||
        !ctl_pair(line, "event", e.kind, sizeof e.kind)) {
        return;
    }
    if (!ctl_pair(line, "node", e.node, sizeof e.node) &&
        !ctl_pair(line, "name", e.node, sizeof e.node)) {
        g_strlcpy(e.node, fallback_node, sizeof e.node);
    }
    dot = strchr(hlc, '.');
    e.ms = g_ascii_strtoll(hlc, NULL, 10);
    e.count = dot ? (unsigned)g_ascii_strtoull(dot + 1, NULL, 10) : 0;
    /* the text follows event= and hlc=, which come in either order */
    p = strstr(line, " hlc=");
    if (!p || strstr(p, " event=")) {
        p = strstr(line, " event=");
    }
    p = strchr(p + 1, ' ');
    e.text = g_strdup(p ? p + 1 : "");
    g_array_append_val(events, e);
}

/* Returns the time of the oldest event in text; INT64_MAX if there is none. */
static int64_t
parse_lines(const char *text, const char *source)
{
    char **lines = g_strsplit(text, "\n", 0), **l;
    guint before = events->len;
    int64_t oldest = INT64_MAX;

    for (l = lines; *l; l++) {
        parse_line(*l, source);
    }
    g_strfreev(lines);
    for (; before < events->len; before++) {
        oldest = MIN(oldest, g_array_index(events, Event, before).ms);
    }
    return oldest;
}

static void note_unknown(const char *fmt, ...) G_GNUC_PRINTF(1, 2);

static void
note_unknown(const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    g_ptr_array_add(unknown, g_strdup_vprintf(fmt, ap));
    va_end(ap);
}

static void
read_source(const Query *q, const char *s)
{
    gchar *text = NULL;
    int64_t oldest;

    if (SpParse_Addr(s, NULL, 0, NULL)) {
        if (!ctl_fetch(s, "GET", "/v1/events", NULL) || ctl_status() != 200) {
            note_unknown("node at %s: cannot fetch its events", s);
            return;
        }
        oldest = parse_lines(ctl_body(), s);
    }
    else if (g_file_get_contents(s, &text, NULL, NULL)) {
        oldest = parse_lines(text, s);
        g_free(text);
    }
    else {
        note_unknown("%s: cannot be read", s);
        return;
    }
    if (oldest > q->from && q->from > 0) {
        note_unknown("%s: no events before ms %" PRId64, s, oldest);
    }
}

static int
compare_time(const void *a, const void *b)
{
    const Event *x = a, *y = b;

    if (x->ms != y->ms) {
        return x->ms < y->ms ? -1 : 1;
    }
    if (x->count != y->count) {
        return x->count < y->count ? -1 : 1;
    }
    return strcmp(x->node, y->node);
}

static int
is_same_event(const Event *a, const Event *b)
{
    return compare_time(a, b) == 0 && strcmp(a->kind, b->kind) == 0 &&
           strcmp(a->text, b->text) == 0;
}

static void
read_events(const Query *q)
{
    guint i, n = 0;

    events = g_array_new(FALSE, TRUE, sizeof(Event));
    unknown = g_ptr_array_new();
    for (i = 0; i < (guint)q->nsources; i++) {
        read_source(q, q->sources[i]);
    }
    g_array_sort(events, compare_time);
    /* drop duplicates: a node's event buffer and its log file hold the same
       events */
    for (i = 0; i < events->len; i++) {
        Event *e = &g_array_index(events, Event, i);
        if (n == 0 ||
            !is_same_event(e, &g_array_index(events, Event, n - 1))) {
            g_array_index(events, Event, n++) = *e;
        }
    }
    g_array_set_size(events, n);
}

static int
matches(const Query *q, const Event *e)
{
    if (e->ms < q->from || e->ms > q->to) {
        return 0;
    }
    if (q->node && strcmp(q->node, e->node) != 0) {
        return 0;
    }
    if (q->kind && strcmp(q->kind, e->kind) != 0) {
        return 0;
    }
    return !q->match || strstr(e->text, q->match);
}

static int
parse_option(const char *arg, const char *name, const char **to)
{
    size_t k = strlen(name);

    if (strncmp(arg, name, k) == 0 && arg[k] == '=') {
        *to = arg + k + 1;
        return 1;
    }
    return 0;
}

static int
parse_args(Query *q, int argc, char **argv)
{
    const char *from = NULL, *to = NULL;
    int i;

    memset(q, 0, sizeof *q);
    q->to = INT64_MAX;
    for (i = 1; i < argc; i++) {
        if (parse_option(argv[i], "from", &from) ||
            parse_option(argv[i], "to", &to) ||
            parse_option(argv[i], "node", &q->node) ||
            parse_option(argv[i], "event", &q->kind) ||
            parse_option(argv[i], "match", &q->match) ||
            parse_option(argv[i], "svg", &q->svg) ||
            parse_option(argv[i], "trace", &q->trace)) {
            continue;
        }
        if (q->nsources < MAX_SOURCES) {
            q->sources[q->nsources++] = argv[i];
        }
    }
    if (from) {
        q->from = g_ascii_strtoll(from, NULL, 10);
    }
    if (to) {
        q->to = g_ascii_strtoll(to, NULL, 10);
    }
    if (q->nsources == 0) {
        fprintf(stderr,
                "spctl: usage: spctl %s [from=MS] [to=MS] [node=NAME] "
                "[event=KIND] [match=TEXT] [svg=FILE] [trace=ID] "
                "ADDR-OR-FILE...\n",
                argv[0]);
        return 0;
    }
    return 1;
}

/* Draws a row for each node and a mark for each event. */
static void
write_svg(const Query *q)
{
    GPtrArray *nodes = g_ptr_array_new();
    FILE *f = fopen(q->svg, "w");
    int64_t first = INT64_MAX, last = 0;
    guint i, k;

    if (!f) {
        fprintf(stderr, "spctl: %s: cannot be written\n", q->svg);
        g_ptr_array_free(nodes, TRUE);
        return;
    }
    for (i = 0; i < events->len; i++) {
        const Event *e = &g_array_index(events, Event, i);
        if (!matches(q, e)) {
            continue;
        }
        first = MIN(first, e->ms);
        last = MAX(last, e->ms);
        if (!g_ptr_array_find_with_equal_func(nodes, e->node, g_str_equal,
                                              NULL)) {
            g_ptr_array_add(nodes, (gpointer)e->node);
        }
    }
    fprintf(f,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
            "height=\"%u\" font-family=\"sans-serif\" font-size=\"12\">\n",
            SVG_LEFT + SVG_WIDTH + 20, (nodes->len + 2) * SVG_ROW);
    for (k = 0; k < nodes->len; k++) {
        fprintf(f, "<text x=\"2\" y=\"%u\">%s</text>\n", (k + 1) * SVG_ROW,
                (char *)g_ptr_array_index(nodes, k));
    }
    for (i = 0; i < events->len; i++) {
        const Event *e = &g_array_index(events, Event, i);
        gchar *t = g_markup_escape_text(e->text, -1);
        if (matches(q, e) && g_ptr_array_find_with_equal_func(
                                 nodes, e->node, g_str_equal, &k)) {
            fprintf(f,
                    "<circle cx=\"%.1f\" cy=\"%u\" r=\"4\" fill=\"%s\">"
                    "<title>%" PRId64 " %s %s</title></circle>\n",
                    SVG_LEFT + (double)SVG_WIDTH * (double)(e->ms - first) /
                                   (double)MAX(last - first, 1),
                    (k + 1) * SVG_ROW - 4,
                    strcmp(e->kind, "config") == 0     ? "#2060a0"
                    : strcmp(e->kind, "refused") == 0  ? "#a04020"
                    : strcmp(e->kind, "overload") == 0 ? "#d08000"
                                                       : "#606060",
                    e->ms, e->kind, t);
        }
        g_free(t);
    }
    fprintf(f,
            "<text x=\"%d\" y=\"%u\">%" PRId64 " ms to %" PRId64
            " ms</text>\n</svg>\n",
            SVG_LEFT, (nodes->len + 1) * SVG_ROW + 4, first, last);
    fclose(f);
    g_ptr_array_free(nodes, TRUE);
}

static void
print_unknown(void)
{
    guint i;

    for (i = 0; i < unknown->len; i++) {
        printf("not known: %s\n", (char *)g_ptr_array_index(unknown, i));
    }
}

int
run_timeline(int argc, char **argv)
{
    Query q;
    guint i;

    if (!parse_args(&q, argc, argv)) {
        return 2;
    }
    read_events(&q);
    for (i = 0; i < events->len; i++) {
        const Event *e = &g_array_index(events, Event, i);
        if (matches(&q, e)) {
            printf("hlc=%" PRId64 ".%u node=%s event=%s %s\n", e->ms, e->count,
                   e->node, e->kind, e->text);
        }
    }
    if (q.svg) {
        write_svg(&q);
    }
    print_unknown();
    return 0;
}

/*
 * Review.
 */

/* Prints the version in force at each node when the interval began, and the
   changes during it. */
static void
review_config(const Query *q)
{
    GHashTable *at_start = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    gpointer k, v;
    guint i;

    for (i = 0; i < events->len; i++) {
        Event *e = &g_array_index(events, Event, i);
        if (strcmp(e->kind, "config") == 0 && e->ms < q->from) {
            g_hash_table_replace(at_start, e->node, e);
        }
    }
    printf("in force at the start:\n");
    g_hash_table_iter_init(&it, at_start);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const Event *e = v;
        printf("  %s: since ms %" PRId64 ": %s\n", e->node, e->ms, e->text);
    }
    printf("came into force:\n");
    for (i = 0; i < events->len; i++) {
        const Event *e = &g_array_index(events, Event, i);
        if (strcmp(e->kind, "config") == 0 && matches(q, e)) {
            printf("  ms %" PRId64 " %s: %s\n", e->ms, e->node, e->text);
        }
    }
    g_hash_table_destroy(at_start);
}

static void
review_kinds(const Query *q, const char *title, const char *const *kinds)
{
    const char *const *k;
    guint i;

    printf("%s:\n", title);
    for (i = 0; i < events->len; i++) {
        const Event *e = &g_array_index(events, Event, i);
        for (k = kinds; *k; k++) {
            if (strcmp(e->kind, *k) == 0 && matches(q, e)) {
                printf("  ms %" PRId64 " %s: %s %s\n", e->ms, e->node, e->kind,
                       e->text);
            }
        }
    }
}

static void
review_refused(const Query *q)
{
    GHashTable *sums =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GHashTableIter it;
    gpointer k, v;
    guint i;

    for (i = 0; i < events->len; i++) {
        const Event *e = &g_array_index(events, Event, i);
        char **f, **p;
        if (strcmp(e->kind, "refused") != 0 || !matches(q, e)) {
            continue;
        }
        f = g_strsplit(e->text, " ", 0);
        for (p = f; *p; p++) {
            char *eq = strchr(*p, '=');
            int64_t *n;
            char *key;
            if (!eq || strncmp(*p, "level=", 6) == 0) {
                continue;
            }
            *eq = '\0';
            key = g_strdup_printf("%s %s", e->node, *p);
            n = g_hash_table_lookup(sums, key);
            if (!n) {
                n = g_new0(int64_t, 1);
                g_hash_table_insert(sums, g_strdup(key), n);
            }
            *n += g_ascii_strtoll(eq + 1, NULL, 10);
            g_free(key);
        }
        g_strfreev(f);
    }
    printf("refused, by node and kind:\n");
    g_hash_table_iter_init(&it, sums);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        printf("  %s: %" PRId64 "\n", (char *)k, *(int64_t *)v);
    }
    g_hash_table_destroy(sums);
}

static const Event *
config_at(const char *node, const char *version)
{
    char v[24];
    guint i;

    for (i = events->len; i > 0; i--) {
        const Event *e = &g_array_index(events, Event, i - 1);
        if (strcmp(e->kind, "config") == 0 && strcmp(e->node, node) == 0 &&
            ctl_pair(e->text, "version", v, sizeof v) &&
            strcmp(v, version) == 0) {
            return e;
        }
    }
    return NULL;
}

static void
explain_refusal(const char *line)
{
    char kind[32], rank[16], level[16], version[16], node[64];
    const Event *e;

    printf("%s", line);
    if (!ctl_pair(line, "kind", kind, sizeof kind) ||
        !ctl_pair(line, "rank", rank, sizeof rank) ||
        !ctl_pair(line, "level", level, sizeof level) ||
        !ctl_pair(line, "version", version, sizeof version) ||
        !ctl_pair(line, "node", node, sizeof node)) {
        return;
    }
    printf("  %s: %s\n", kind, SpKind_Info(SpKind_ByName(kind))->text);
    if (strcmp(kind, "shed") == 0) {
        printf("  its rank %s was not below the admission level %s of its "
               "path\n",
               rank, level);
    }
    e = config_at(node, version);
    if (e) {
        printf("  in force at %s since ms %" PRId64 ": %s\n", node, e->ms,
               e->text);
    }
    else {
        printf("  version %s was in force at %s; the event that names its "
               "publisher is no longer known\n",
               version, node);
    }
}

static void
review_trace(const Query *q)
{
    char *path = g_strdup_printf("/v1/refusals?trace=%s", q->trace);
    int i, found = 0;

    printf("request %s:\n", q->trace);
    for (i = 0; i < q->nsources; i++) {
        if (SpParse_Addr(q->sources[i], NULL, 0, NULL) &&
            ctl_fetch(q->sources[i], "GET", path, NULL) &&
            ctl_status() == 200 && ctl_body()[0]) {
            char *line = g_strdup(ctl_body());
            explain_refusal(line);
            g_free(line);
            found = 1;
        }
    }
    if (!found) {
        printf(
            "  not known: none of these nodes has a record of refusing it\n");
    }
    g_free(path);
}

int
run_review(int argc, char **argv)
{
    static const char *const limits[] = {"overload", "overload-end", NULL};
    static const char *const changes[] = {
        "publish", "member",        "leaving",     "returning", "log-down",
        "log-up",  "instance-lost", "instance-up", "started",   "stopped",
        NULL};
    Query q;

    if (!parse_args(&q, argc, argv)) {
        return 2;
    }
    read_events(&q);
    review_config(&q);
    review_kinds(&q, "gates that lowered their admission level", limits);
    review_refused(&q);
    review_kinds(&q, "other changes in the interval", changes);
    if (q.trace) {
        review_trace(&q);
    }
    print_unknown();
    return 0;
}
