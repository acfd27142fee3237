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

/* The record of this node; the caller frees it. */
static char *
write_node_record(const Relay *n)
{
    const SpRelaySettings *st = &n->settings;
    json_t *o = json_pack("{s:s,s:s,s:s}", "addr", st->link, "zone", st->zone,
                          "service", st->service);
    char *text = json_dumps(o, JSON_COMPACT);

    json_decref(o);
    return text;
}

static int
copy_text(char *to, size_t size, const json_t *o, const char *key)
{
    const char *text = json_string_value(json_object_get(o, key));

    return text && *text && g_strlcpy(to, text, size) < size;
}

/* Returns 0 if the record describes no node. */
static int
read_node_record(const SpRecord *r, SpNodeInfo *m)
{
    json_t *o = r->value ? json_loadb(r->value, r->value_len, 0, NULL) : NULL;
    int ok;

    memset(m, 0, sizeof *m);
    ok = r->key && *r->key &&
         g_strlcpy(m->name, r->key, sizeof m->name) < sizeof m->name &&
         copy_text(m->addr, sizeof m->addr, o, "addr") &&
         copy_text(m->zone, sizeof m->zone, o, "zone") &&
         copy_text(m->service, sizeof m->service, o, "service");
    json_decref(o);
    return ok;
}

void
start_nodes(Task *t)
{
    Relay *n = t->s->n;
    const SpAdapter *ad = n->adapter;
    GString *s;
    char *record;

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
        ad->write_append(s, n->settings.store, SP_STREAM_NODES,
                         n->settings.name, record);
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
        if (!read_node_record(&g_array_index(rs->list, SpRecord, i), &m)) {
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
