/* Registers this node in the store, and lists the others. */
#include <jansson.h>
#include <string.h>

#include "relay/store.h"

/* When all nodes start together, one in LIST_ONE_IN reads the list, this long
   after its registration so that the others have registered; it links to nodes
   of each service, which learn of the others from it. A node that nobody has
   linked in time reads the list itself. */
#define LIST_ONE_IN 8
#define LIST_DELAY_US (500 * SP_MS)
#define LIST_FALLBACK_US (1500 * SP_MS)
#define LIST_SPREAD_US (500 * SP_MS)
/* Interval at which a node without links lists the others again. */
#define RELIST_US (3 * SP_SEC)
/* Part of a long name that its key begins with. */
#define NAME_KEY_BYTES (SP_RECORD_KEY_BYTES - 17)

/* The record of this node; the caller frees it. */
static char *
write_node_record(const Relay *n)
{
    const SpRelaySettings *st = &n->settings;
    json_t *o = json_pack("{s:s,s:s,s:s,s:s}", "name", st->name, "addr",
                          st->link, "zone", st->zone, "service", st->service);
    char *text = json_dumps(o, JSON_COMPACT);

    json_decref(o);
    return text;
}

/* The key of the record of this node: its name, or for a longer one than keys
   may be its beginning and its hash. The caller frees it. */
static char *
node_key(const Relay *n)
{
    const char *name = n->settings.name;
    size_t len = strlen(name);

    if (len <= SP_RECORD_KEY_BYTES) {
        return g_strdup(name);
    }
    return g_strdup_printf("%.*s-%016" PRIx64, NAME_KEY_BYTES, name,
                           SpHash(name, len, 0));
}

/* Returns a copy in a, or NULL if the record has no such text. */
static const char *
read_text(SpArena *a, const json_t *o, const char *key)
{
    const char *text = json_string_value(json_object_get(o, key));

    return text && *text ? SpArena_Str(a, text) : NULL;
}

/* Returns 0 if the record describes no node. The names belong to a. */
static int
read_node_record(SpArena *a, const SpRecord *r, SpNodeInfo *m)
{
    json_t *o = r->value ? json_loadb(r->value, r->value_len, 0, NULL) : NULL;
    const char *addr = read_text(a, o, "addr");

    memset(m, 0, sizeof *m);
    m->name = read_text(a, o, "name");
    if (!m->name) {
        m->name = r->key && *r->key ? r->key : NULL; /* of an older version */
    }
    m->zone = read_text(a, o, "zone");
    m->service = read_text(a, o, "service");
    json_decref(o);
    return m->name && m->zone && m->service && addr &&
           g_strlcpy(m->addr, addr, sizeof m->addr) < sizeof m->addr;
}

void
start_nodes(Task *t)
{
    Relay *n = t->s->n;
    const SpAdapter *ad = n->adapter;
    GString *s;
    char *record, *key;

    if (t->step == STEP_IDLE || t->s->may_skip_list) {
        t->s->may_skip_list = 0;
        t->step = count_links(n) > 0 ? STEP_IDLE : STEP_LIST;
    }
    if (t->step == STEP_IDLE) {
        t->next_at = SpHttp_Now() + RELIST_US;
        return;
    }
    s = g_string_sized_new(512);
    if (t->step == STEP_REGISTER) {
        record = write_node_record(n);
        key = node_key(n);
        ad->write_append(s, n->settings.store, SP_STREAM_NODES, key, record);
        g_free(key);
        free(record);
        send_store_call(t, CALL_REGISTER, s, SP_CALL_TIMEOUT_US);
    }
    else {
        ad->write_newest(s, n->settings.store, SP_STREAM_NODES, t->after);
        send_store_call(t, CALL_LIST, s, SP_CALL_TIMEOUT_US);
    }
    g_string_free(s, TRUE);
}

static int
is_own_record(const Relay *n, const SpNodeInfo *m)
{
    const SpRelaySettings *st = &n->settings;

    return strcmp(m->name, st->name) == 0 && strcmp(m->addr, st->link) == 0 &&
           strcmp(m->zone, st->zone) == 0 &&
           strcmp(m->service, st->service) == 0;
}

static void
add_listed_members(Store *s, const SpRecords *rs)
{
    SpNodeInfo m;
    guint i;

    for (i = 0; i < rs->list->len; i++) {
        if (!read_node_record(rs->arena, &g_array_index(rs->list, SpRecord, i),
                              &m)) {
            continue; /* of another version of the program */
        }
        s->registered |= is_own_record(s->n, &m);
        add_member(s->n, &m, 1);
    }
}

static void
after_registration(Task *t)
{
    Relay *n = t->s->n;
    Store *s = t->s;
    int64_t delay = LIST_DELAY_US;

    s->registered = 1;
    t->step = STEP_IDLE;
    if (!n->settings.first_start && SpDirectory_Count(n->directory) > 1) {
        return;
    }
    if (n->settings.first_start && SpRand(&n->rand) % LIST_ONE_IN != 0) {
        s->may_skip_list = 1;
        delay =
            LIST_FALLBACK_US + (int64_t)(SpRand(&n->rand) % LIST_SPREAD_US);
    }
    t->step = STEP_LIST;
    t->next_at = SpHttp_Now() + delay;
}

int
handle_nodes(Task *t, const SpMsg *m)
{
    Store *s = t->s;
    SpRecords rs = {0};
    int ok;

    if (t->step == STEP_REGISTER) {
        if (m->status != 200) {
            return 0;
        }
        after_registration(t);
        return 1;
    }
    ok = s->n->adapter->read_newest(m, &rs);
    if (ok) {
        add_listed_members(s, &rs);
        note_last_key(t, &rs);
    }
    if (ok && !t->after[0]) {
        t->step = s->registered ? STEP_IDLE : STEP_REGISTER;
        t->next_at = s->registered ? SpHttp_Now() + RELIST_US : 0;
    }
    free_records(&rs);
    return ok;
}
