/* Queue that workspaces share: virtual clock. */
#include <string.h>

#include "flow/fairqueue.h"

/* Idle workspaces are forgotten when more than this many are known. */
#define MAX_FLOWS 1024
/* Requests by which an account may be ahead without a later tag. */
#define TOLERATED 4
/* An account is ahead by this many times the length of the queue at most. */
#define MAX_AHEAD 4
#define MIN_PART 1e-5
/* Weight of one sample in the smoothed gap. */
#define GAP_WEIGHT 0.2

void
SpFairQueue_Init(SpFairQueue *q)
{
    memset(q, 0, sizeof *q);
    g_queue_init(&q->items);
    q->unnamed.part = 1;
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
        g_sequence_free(q->order);
    }
    SpFairQueue_Init(q);
}

static gint
compare_items(gconstpointer a, gconstpointer b, gpointer unused)
{
    const SpFairItem *x = a, *y = b;

    (void)unused;
    if (x->tag < y->tag || x->tag > y->tag) {
        return x->tag < y->tag ? -1 : 1;
    }
    return x->number < y->number ? -1 : x->number > y->number;
}

/* The tables, made when the first name comes. */
static void
make_tables(SpFairQueue *q)
{
    GList *k;

    q->flows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_flow);
    q->order = g_sequence_new(NULL);
    for (k = q->items.head; k; k = k->next) {
        SpFairItem *i = k->data;
        i->at = g_sequence_append(q->order, i);
    }
}

static int
is_named(const char *workspace)
{
    return workspace && *workspace;
}

static gboolean
is_idle(gpointer name, gpointer flow, gpointer queue)
{
    const SpFairFlow *f = flow;
    const SpFairQueue *q = queue;

    (void)name;
    return f->items == 0 &&
           (q->items.length == 0 || f->account <= (double)q->arrivals ||
            g_hash_table_size(q->flows) > 2 * MAX_FLOWS);
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
        if (g_hash_table_size(q->flows) >= MAX_FLOWS) {
            g_hash_table_foreach_remove(q->flows, is_idle, q);
        }
        f = g_new0(SpFairFlow, 1);
        f->name = g_strdup(workspace);
        g_hash_table_insert(q->flows, f->name, f);
    }
    return f;
}

/* Tag of the next item of a flow; f is NULL for one that is not known. */
static double
next_tag(const SpFairQueue *q, const SpFairFlow *f, double part)
{
    double number = (double)q->arrivals, tag;

    if (!f || !f->name) {
        return number;
    }
    tag = f->account - TOLERATED / part;
    return CLAMP(tag, number, number + MAX_AHEAD * (q->items.length + 1.0));
}

static double
part_of(double part)
{
    return part > 0 ? CLAMP(part, MIN_PART, 1) : 1;
}

void
SpFairQueue_Push(SpFairQueue *q, SpFairItem *i, const char *workspace,
                 double part)
{
    SpFairFlow *f = get_flow(q, workspace);
    double number = (double)q->arrivals;

    if (f->name) {
        f->part = part_of(part);
    }
    i->flow = f;
    i->number = q->arrivals;
    i->tag = next_tag(q, f, f->part);
    f->account = MAX(f->account, number) + 1 / f->part;
    f->account = MIN(f->account, number + TOLERATED / f->part +
                                     MAX_AHEAD * (q->items.length + 1.0));
    q->arrivals++;
    i->link = (GList){.data = i};
    g_queue_push_tail_link(&q->items, &i->link);
    f->items++;
    i->at = q->order
                ? g_sequence_insert_sorted(q->order, i, compare_items, NULL)
                : NULL;
}

void
SpFairQueue_Remove(SpFairQueue *q, SpFairItem *i)
{
    SpFairFlow *f = i->flow;

    g_queue_unlink(&q->items, &i->link);
    if (i->at) {
        g_sequence_remove(i->at);
        i->at = NULL;
    }
    i->flow = NULL;
    if (--f->items == 0) {
        f->taken_at = 0;
        f->gap = 0;
    }
    if (!q->items.length && q->flows) {
        g_hash_table_foreach_remove(q->flows, is_idle, q);
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
    SpFairItem *i;

    if (!q->items.length) {
        return NULL;
    }
    i = q->order ? g_sequence_get(g_sequence_get_begin_iter(q->order))
                 : q->items.head->data;
    count_take(q, i->flow);
    SpFairQueue_Remove(q, i);
    return i;
}

guint
SpFairQueue_Ahead(const SpFairQueue *q, const char *workspace, double part)
{
    const SpFairFlow *f;
    SpFairItem key = {.number = UINT64_MAX};
    double due;

    if (!q->order) {
        return q->items.length;
    }
    f = is_named(workspace) ? g_hash_table_lookup(q->flows, workspace) : NULL;
    key.tag = next_tag(q, f, part_of(part));
    due = g_sequence_iter_get_position(
        g_sequence_search(q->order, &key, compare_items, NULL));
    if (f && key.tag > (double)q->arrivals) {
        due = MAX(due, f->items * f->gap);
    }
    return (guint)due;
}
