/* Queue that workspaces take turns in: start-time fair queueing. */
#include <string.h>

#include "flow/fairqueue.h"

/* Maximum number of idle flows that are remembered. */
#define MAX_IDLE 1024
/* Weight of one sample in the smoothed gap. */
#define GAP_WEIGHT 0.2

void
SpFairQueue_Init(SpFairQueue *q)
{
    memset(q, 0, sizeof *q);
    g_queue_init(&q->items);
    g_queue_init(&q->unnamed.items);
}

static void
free_flow(gpointer p)
{
    SpFairFlow *f = p;

    g_free(f->name);
    g_free(f);
}

void
SpFairQueue_Clear(SpFairQueue *q)
{
    if (q->flows) {
        g_hash_table_destroy(q->flows);
        g_sequence_free(q->active);
        g_sequence_free(q->idle);
    }
    SpFairQueue_Init(q);
}

static uint64_t
first_number(const SpFairFlow *f)
{
    const SpFairItem *i = g_queue_peek_head((GQueue *)&f->items);

    return i ? i->number : UINT64_MAX;
}

static gint
compare_flows(gconstpointer a, gconstpointer b, gpointer unused)
{
    const SpFairFlow *f = a, *g = b;
    uint64_t m, n;

    (void)unused;
    if (f->tag < g->tag || f->tag > g->tag) {
        return f->tag < g->tag ? -1 : 1;
    }
    m = first_number(f);
    n = first_number(g);
    return m < n ? -1 : m > n;
}

/* The tables of named flows, made when the first name comes. */
static void
make_tables(SpFairQueue *q)
{
    q->flows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_flow);
    q->active = g_sequence_new(NULL);
    q->idle = g_sequence_new(NULL);
    if (q->unnamed.items.length) {
        q->unnamed.at = g_sequence_append(q->active, &q->unnamed);
    }
}

static int
is_named(const char *workspace)
{
    return workspace && *workspace;
}

static const SpFairFlow *
find_flow(const SpFairQueue *q, const char *workspace)
{
    if (!is_named(workspace)) {
        return &q->unnamed;
    }
    return q->flows ? g_hash_table_lookup(q->flows, workspace) : NULL;
}

static SpFairFlow *
get_flow(SpFairQueue *q, const char *workspace)
{
    SpFairFlow *f;

    if (!is_named(workspace)) {
        return &q->unnamed;
    }
    if (!q->flows) {
        make_tables(q);
    }
    f = g_hash_table_lookup(q->flows, workspace);
    if (!f) {
        f = g_new0(SpFairFlow, 1);
        f->name = g_strdup(workspace);
        g_hash_table_insert(q->flows, f->name, f);
    }
    return f;
}

static void
unlist_flow(SpFairFlow *f)
{
    if (f->at) {
        g_sequence_remove(f->at);
        f->at = NULL;
    }
}

/* The tag, bounded to the time at which length items will have been served. */
static double
bound_tag(const SpFairQueue *q, double tag, guint length, double weights)
{
    return CLAMP(tag, q->now, q->now + length / weights);
}

static void
list_active(SpFairQueue *q, SpFairFlow *f)
{
    f->tag = bound_tag(q, f->tag, q->items.length, q->weights);
    if (q->active) {
        f->at = g_sequence_insert_sorted(q->active, f, compare_flows, NULL);
    }
}

void
SpFairQueue_Push(SpFairQueue *q, SpFairItem *i, const char *workspace,
                 double weight)
{
    SpFairFlow *f = get_flow(q, workspace);

    i->flow = f;
    i->number = q->next_number++;
    i->link = (GList){.data = i};
    i->flow_link = (GList){.data = i};
    g_queue_push_tail_link(&q->items, &i->link);
    g_queue_push_tail_link(&f->items, &i->flow_link);
    if (f->items.length > 1) {
        return;
    }
    unlist_flow(f);
    f->weight = weight > 0 ? weight : 1;
    q->weights += f->weight;
    list_active(q, f);
}

static void
forget_flow(SpFairQueue *q, SpFairFlow *f)
{
    unlist_flow(f);
    g_hash_table_remove(q->flows, f->name);
}

/* Forgets idle flows whose tag has passed. When nothing waits, all begin
   anew. */
static void
trim_idle(SpFairQueue *q)
{
    int all = q->items.length == 0;

    while (q->idle && !g_sequence_is_empty(q->idle)) {
        SpFairFlow *f = g_sequence_get(g_sequence_get_begin_iter(q->idle));
        if (!all && f->tag > q->now &&
            g_sequence_get_length(q->idle) <= MAX_IDLE) {
            break;
        }
        forget_flow(q, f);
    }
    if (all) {
        q->now = q->weights = q->unnamed.tag = 0;
    }
}

/* Lists a flow again after its first item was removed. */
static void
relist_flow(SpFairQueue *q, SpFairFlow *f)
{
    unlist_flow(f);
    if (f->items.length) {
        list_active(q, f);
        return;
    }
    q->weights -= f->weight;
    f->taken_at = 0;
    f->gap = 0;
    if (f->name) {
        f->at = g_sequence_insert_sorted(q->idle, f, compare_flows, NULL);
    }
    trim_idle(q);
}

static void
unlink_item(SpFairQueue *q, SpFairItem *i)
{
    g_queue_unlink(&q->items, &i->link);
    g_queue_unlink(&i->flow->items, &i->flow_link);
    i->flow = NULL;
}

void
SpFairQueue_Remove(SpFairQueue *q, SpFairItem *i)
{
    SpFairFlow *f = i->flow;
    int is_first = f->items.head == &i->flow_link;

    unlink_item(q, i);
    if (is_first) {
        relist_flow(q, f);
    }
}

/* Measures the pace of a flow that had items all the while since its last
   take. */
static void
count_take(SpFairQueue *q, SpFairFlow *f)
{
    double sample;

    q->takes++;
    if (f->taken_at) {
        sample = (double)(q->takes - f->taken_at);
        f->gap += (f->gap > 0 ? GAP_WEIGHT : 1) * (sample - f->gap);
    }
    f->taken_at = q->takes;
}

SpFairItem *
SpFairQueue_Take(SpFairQueue *q)
{
    SpFairFlow *f = &q->unnamed;
    SpFairItem *i;

    if (!q->items.length) {
        return NULL;
    }
    if (q->active) {
        f = g_sequence_get(g_sequence_get_begin_iter(q->active));
    }
    i = f->items.head->data;
    q->now = f->tag;
    f->tag += 1 / f->weight;
    unlink_item(q, i);
    count_take(q, f);
    relist_flow(q, f);
    return i;
}

/* Active flows other than f whose first item is due by the tag. */
static guint
count_due(const SpFairQueue *q, const SpFairFlow *f, double tag)
{
    SpFairFlow key = {.tag = tag};
    guint n;

    n = (guint)g_sequence_iter_get_position(
        g_sequence_search(q->active, &key, compare_flows, NULL));
    return n - (f && f->items.length && f->tag <= tag ? 1 : 0);
}

guint
SpFairQueue_Ahead(const SpFairQueue *q, const char *workspace, double weight)
{
    const SpFairFlow *f;
    double tag, due, rivals;
    guint own;

    if (!q->active) {
        return q->items.length;
    }
    f = find_flow(q, workspace);
    own = f ? f->items.length : 0;
    rivals = q->weights - (own ? f->weight : 0);
    weight = own ? f->weight : weight > 0 ? weight : 1;
    tag = own ? f->tag + own / weight
              : bound_tag(q, f ? f->tag : 0, q->items.length + 1,
                          q->weights + weight);
    due = count_due(q, f, tag) + MAX(rivals, 0) * (tag - q->now);
    due = own + MIN(due, q->items.length - own);
    return (guint)(own ? MAX(due, own * f->gap) : due);
}
