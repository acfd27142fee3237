/*
 * Interpreter of the scenario files (*.sp): one command per line, '#' starts
 * a comment. The commands drive the simulation of world.h, and their output is
 * compared with an expected output. See docs/TESTING.md.
 */
#include <stdlib.h>
#include <string.h>

#include "test/test.h"
#include "test/world.h"

#define MAX_WORDS 24
#define TICK_US (10 * SP_MS)

typedef struct Script {
    World *w;
    const char *file;
    int line;
    GHashTable *docs;        /* name -> document text */
    GHashTable *keys;        /* name -> bound key */
    GHashTable *publish_ids; /* name -> publish id */
    int failed;
} Script;

typedef struct Command {
    const char *name;
    int min_args; /* arguments required after the name */
    const char *usage;
    void (*run)(Script *s, int n, char **a);
} Command;

static void
fail(Script *s, const char *why, const char *what)
{
    fprintf(stderr, "%s:%d: %s: %s\n", s->file, s->line, why, what);
    s->failed = 1;
}

static int
find_node(Script *s, const char *name)
{
    int i = World_Find(s->w, name);

    if (i < 0) {
        fail(s, "no such node", name);
        exit(2);
    }
    return i;
}

static SpCore *
running_core(Script *s, const char *name)
{
    SpCore *c = World_Core(s->w, find_node(s, name));

    if (!c) {
        fail(s, "node is not running", name);
        exit(2);
    }
    return c;
}

static void
print_time(Script *s)
{
    printf("%" PRId64 " ", World_Now(s->w) / SP_MS);
}

static void
run_node(Script *s, int n, char **a)
{
    (void)n;
    World_Node(s->w, a[0], a[1], a[2], atoi(a[3]));
}

static void
run_wait(Script *s, int n, char **a)
{
    (void)n;
    World_Run(s->w, atoi(a[0]) * SP_MS);
}

static void
run_work(Script *s, int n, char **a)
{
    (void)n;
    World_SetWorkTime(s->w, a[0], atoi(a[1]));
}

static void
run_fail(Script *s, int n, char **a)
{
    (void)n;
    World_SetFailing(s->w, a[0], strcmp(a[1], "on") == 0);
}

static void
run_child(Script *s, int n, char **a)
{
    (void)n;
    World_Child(s->w, a[0], a[1], a[2]);
}

static void
run_publish(Script *s, int n, char **a)
{
    const char *text = g_hash_table_lookup(s->docs, a[2]);
    int i = find_node(s, a[0]);
    char *id;

    if (!text) {
        fail(s, "no such document", a[2]);
        return;
    }
    running_core(s, a[0]);
    id = World_Publish(s->w, i, atoi(a[1]), "test", text);
    g_hash_table_insert(s->publish_ids, g_strdup(n > 3 ? a[3] : a[2]), id);
}

static void
run_published(Script *s, int n, char **a)
{
    static const char *const names[] = {"unseen", "won", "lost", "bad"};
    const char *id = g_hash_table_lookup(s->publish_ids, a[1]);

    (void)n;
    print_time(s);
    printf("%s at %s: %s\n", a[1], a[0],
           names[SpCore_PublishState(running_core(s, a[0]), id ? id : "")]);
}

static void
on_result(void *ctx, World *w, const WResult *r)
{
    Script *s = ctx;

    (void)w;
    print_time(s);
    printf("%s: %d %s %s", r->id, r->status, SpKind_Info(r->kind)->name,
           SpOutcome_Name(r->outcome));
    if (r->body_len) {
        printf(" \"%.*s\"",
               (int)(r->body[r->body_len - 1] == '\n' ? r->body_len - 1
                                                      : r->body_len),
               r->body);
    }
    printf("\n");
}

static const char *
option_value(int n, char **a, const char *name)
{
    size_t k = strlen(name);
    int i;

    for (i = 0; i < n; i++) {
        if (strncmp(a[i], name, k) == 0 && a[i][k] == '=') {
            return a[i] + k + 1;
        }
    }
    return NULL;
}

/* call ID NODE METHOD PATH [key=NAME] [timeout=MS] [attempt=N] [body=TEXT] */
static void
run_call(Script *s, int n, char **a)
{
    const char *key = option_value(n, a, "key"), *v;
    WCallOpts o = {.id = a[0],
                   .method = a[2],
                   .path = a[3],
                   .body = option_value(n, a, "body"),
                   .cb = on_result,
                   .ctx = s};

    if (key) {
        v = g_hash_table_lookup(s->keys, key);
        o.key = v ? v : key;
    }
    v = option_value(n, a, "timeout");
    o.timeout_ms = v ? atoi(v) : 0;
    v = option_value(n, a, "attempt");
    o.attempt = v ? atoi(v) : 0;
    World_Call(s->w, find_node(s, a[1]), &o);
}

typedef struct KeyRequest {
    Script *s;
    char *name;
} KeyRequest;

static void
on_key(void *ctx, World *w, const WResult *r)
{
    KeyRequest *k = ctx;
    char *text = g_strndup(r->body, r->body_len), *from, *to;

    (void)w;
    from = strstr(text, ": \"");
    to = from ? strchr(from + 3, '"') : NULL;
    print_time(k->s);
    if (r->status == 201 && to) {
        *to = '\0';
        printf("key %s: home %.*s\n", k->name,
               (int)(strchr(from, '~') - from - 3), from + 3);
        g_hash_table_insert(k->s->keys, k->name, g_strdup(from + 3));
    }
    else {
        printf("key %s: %d %s\n", k->name, r->status,
               SpKind_Info(r->kind)->name);
        g_free(k->name);
    }
    g_free(text);
    g_free(k);
}

/* key NAME NODE ROUTE */
static void
run_key(Script *s, int n, char **a)
{
    KeyRequest *k = g_new0(KeyRequest, 1);
    char *path = g_strdup_printf("/.sp/keys/%s", a[2]);
    WCallOpts o = {
        .id = a[0], .method = "POST", .path = path, .cb = on_key, .ctx = k};

    (void)n;
    k->s = s;
    k->name = g_strdup(a[0]);
    World_Call(s->w, find_node(s, a[1]), &o);
    g_free(path);
}

/* outcome NODE KEY [DELETE] */
static void
run_outcome(Script *s, int n, char **a)
{
    const char *key = g_hash_table_lookup(s->keys, a[1]);
    char *path = g_strdup_printf("/.sp/outcomes/%s", key ? key : a[1]);
    WCallOpts o = {.id = a[1],
                   .method = n > 2 ? a[2] : "GET",
                   .path = path,
                   .cb = on_result,
                   .ctx = s};

    World_Call(s->w, find_node(s, a[0]), &o);
    g_free(path);
}

static void
run_cut(Script *s, int n, char **a)
{
    (void)n;
    World_SetPartition(s->w, a[0], a[1], 1);
}

static void
run_heal(Script *s, int n, char **a)
{
    (void)n;
    World_SetPartition(s->w, a[0], a[1], 0);
}

static void
run_kill(Script *s, int n, char **a)
{
    (void)n;
    World_Kill(s->w, find_node(s, a[0]));
}

static void
run_start(Script *s, int n, char **a)
{
    (void)n;
    World_Start(s->w, find_node(s, a[0]));
}

static void
run_pause(Script *s, int n, char **a)
{
    (void)n;
    World_SetPaused(s->w, find_node(s, a[0]), 1);
}

static void
run_resume(Script *s, int n, char **a)
{
    (void)n;
    World_SetPaused(s->w, find_node(s, a[0]), 0);
}

static void
run_leave(Script *s, int n, char **a)
{
    (void)n;
    World_Leave(s->w, find_node(s, a[0]));
}

static void
run_instance(Script *s, int n, char **a)
{
    (void)n;
    World_SetInstanceState(s->w, find_node(s, a[0]), a[1]);
}

static void
run_log(Script *s, int n, char **a)
{
    (void)n;
    World_SetLogState(s->w, a[0]);
}

/* nolog NODE on|off */
static void
run_nolog(Script *s, int n, char **a)
{
    (void)n;
    World_SetLogBlocked(s->w, find_node(s, a[0]), strcmp(a[1], "on") == 0);
}

static void
run_trim(Script *s, int n, char **a)
{
    (void)n;
    World_TrimLog(s->w, atoi(a[0]));
}

static void
run_drop(Script *s, int n, char **a)
{
    (void)n;
    World_FaultNextMessage(s->w, find_node(s, a[1]), find_node(s, a[2]), a[0]);
}

static void
run_runs(Script *s, int n, char **a)
{
    (void)n;
    print_time(s);
    printf("runs of %s at %s: %d\n", a[0], a[1],
           World_RunCount(s->w, a[0], a[1]));
}

static void
run_config(Script *s, int n, char **a)
{
    int i;

    (void)n;
    (void)a;
    print_time(s);
    printf("config:");
    for (i = 0; i < World_NodeCount(s->w); i++) {
        SpCore *c = World_Core(s->w, i);
        const SpVersion *v = c ? SpVersions_Current(SpCore_Versions(c)) : NULL;
        printf(" %s=", World_NodeName(s->w, i));
        if (!c) {
            printf("-");
        }
        else if (!v) {
            printf("none");
        }
        else {
            printf("%d/%s", v->number, v->doc->name);
        }
    }
    printf("\n");
}

static int
by_name(const void *a, const void *b)
{
    const SpMember *const *x = a, *const *y = b;

    return strcmp((*x)->name, (*y)->name);
}

static void
run_members(Script *s, int n, char **a)
{
    const SpMembers *ms = SpCore_Members(running_core(s, a[0]));
    const SpMember *list[64];
    guint i, count = MIN(SpMembers_Count(ms), 64);

    (void)n;
    for (i = 0; i < count; i++) {
        list[i] = SpMembers_At(ms, i);
    }
    qsort(list, count, sizeof(const SpMember *), by_name);
    print_time(s);
    printf("members at %s:", a[0]);
    for (i = 0; i < count; i++) {
        printf(" %s=%s", list[i]->name, SpMemberState_Name(list[i]->state));
    }
    printf("\n");
}

/* count NODE NAME: prints one of the node's counters */
static void
run_count(Script *s, int n, char **a)
{
    const SpCounters *k = SpCore_Counters(running_core(s, a[0]));
    const struct {
        const char *name;
        uint64_t v;
    } list[] = {{"retries", k->retries},   {"sends", k->sends},
                {"runs", k->runs},         {"replays", k->replays},
                {"handoffs", k->handoffs}, {"cancels", k->cancels}};
    size_t i;

    (void)n;
    for (i = 0; i < G_N_ELEMENTS(list); i++) {
        if (strcmp(list[i].name, a[1]) == 0) {
            print_time(s);
            printf("%s at %s: %" PRIu64 "\n", a[1], a[0], list[i].v);
            return;
        }
    }
    fail(s, "no such counter", a[1]);
}

static void
run_idle(Script *s, int n, char **a)
{
    (void)n;
    print_time(s);
    printf("%s is %s\n", a[0],
           SpCore_Idle(running_core(s, a[0])) ? "idle" : "busy");
}

static void
run_say(Script *s, int n, char **a)
{
    int i;

    print_time(s);
    printf("--");
    for (i = 0; i < n; i++) {
        printf(" %s", a[i]);
    }
    printf("\n");
}

static const Command commands[] = {
    {"node", 4, "NAME SERVICE ZONE SLOTS", run_node},
    {"wait", 1, "MS", run_wait},
    {"work", 2, "PATH MS", run_work},
    {"fail", 2, "PATH on|off", run_fail},
    {"child", 3, "PATH METHOD CHILD-PATH", run_child},
    {"publish", 3, "NODE REPLACES DOC [AS]", run_publish},
    {"published", 2, "NODE DOC", run_published},
    {"call", 4, "ID NODE METHOD PATH [OPTIONS]", run_call},
    {"key", 3, "NAME NODE ROUTE", run_key},
    {"outcome", 2, "NODE KEY [METHOD]", run_outcome},
    {"cut", 2, "ZONE ZONE", run_cut},
    {"heal", 2, "ZONE ZONE", run_heal},
    {"kill", 1, "NODE", run_kill},
    {"start", 1, "NODE", run_start},
    {"pause", 1, "NODE", run_pause},
    {"resume", 1, "NODE", run_resume},
    {"leave", 1, "NODE", run_leave},
    {"instance", 2, "NODE up|leaving|silent", run_instance},
    {"log", 1, "up|down|lose", run_log},
    {"nolog", 2, "NODE on|off", run_nolog},
    {"trim", 1, "KEEP", run_trim},
    {"drop", 3, "call|reply|double NODE NODE", run_drop},
    {"runs", 2, "ID PATH", run_runs},
    {"config", 0, "", run_config},
    {"members", 1, "NODE", run_members},
    {"count", 2, "NODE COUNTER", run_count},
    {"idle", 1, "NODE", run_idle},
    {"say", 0, "TEXT", run_say},
};

static void
run_line(Script *s, char *line)
{
    char *words[MAX_WORDS], *save = NULL, *p;
    int n = 0;
    size_t i;

    for (p = strtok_r(line, " \t", &save); p && n < MAX_WORDS;
         p = strtok_r(NULL, " \t", &save)) {
        words[n++] = p;
    }
    if (n == 0 || words[0][0] == '#') {
        return;
    }
    for (i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0) {
            if (n - 1 < commands[i].min_args) {
                fail(s, commands[i].name, commands[i].usage);
                return;
            }
            commands[i].run(s, n - 1, words + 1);
            return;
        }
    }
    fail(s, "no such command", words[0]);
}

/* Reads the document between the lines "doc NAME" and "end". Returns the
   index of the latter. */
static int
read_doc(Script *s, char **lines, int i)
{
    char *name = g_strstrip(g_strdup(lines[i] + 4));
    GString *text = g_string_new(NULL);

    for (i++; lines[i] && strcmp(lines[i], "end") != 0; i++) {
        g_string_append_printf(text, "%s\n", lines[i]);
    }
    g_hash_table_insert(s->docs, name, g_string_free(text, FALSE));
    return i;
}

int
run_script(const char *file)
{
    Script s = {.file = file};
    gchar *text;
    char **lines;
    int i;

    if (!g_file_get_contents(file, &text, NULL, NULL)) {
        fprintf(stderr, "sptest: cannot read %s\n", file);
        return 2;
    }
    s.w = World_New(1, TICK_US);
    s.docs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s.publish_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    lines = g_strsplit(text, "\n", 0);
    for (i = 0; lines[i] && !s.failed; i++) {
        s.line = i + 1;
        if (strncmp(lines[i], "doc ", 4) == 0) {
            i = read_doc(&s, lines, i);
            continue;
        }
        run_line(&s, lines[i]);
    }
    if (!s.failed) {
        printf("doubles=%d foreign=%d\n", World_DuplicateRuns(s.w),
               World_MismatchedAnswers(s.w));
    }
    g_strfreev(lines);
    g_free(text);
    World_Free(s.w);
    g_hash_table_destroy(s.docs);
    g_hash_table_destroy(s.keys);
    g_hash_table_destroy(s.publish_ids);
    return s.failed;
}
