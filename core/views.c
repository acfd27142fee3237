/* Admission levels of routes and services, learnt from answers. */
#include <math.h>

#include "core/state.h"

/* Time constant of the moving average and minimum weight of one answer. */
#define LEVEL_TAU_US (200.0 * SP_MS)
#define MIN_WEIGHT 0.05
/* Without unanswered requests and without an answer for this long, a level
   rises in steps, so that some request is admitted and its answer brings the
   current level. */
#define IDLE_US (300 * SP_MS)
#define IDLE_STEP 0.02
#define TICK_US (50 * SP_MS)
#define MAX_LEVEL (SP_MAX_CLASSES * SP_SLICES)

SpLevelView *
SpCore_GetLevelView(GHashTable *views, const char *name)
{
    SpLevelView *v = g_hash_table_lookup(views, name);

    if (!v) {
        v = g_new0(SpLevelView, 1);
        v->level = MAX_LEVEL;
        g_hash_table_insert(views, g_strdup(name), v);
    }
    return v;
}

void
SpLevelView_Update(SpLevelView *v, int64_t now, int level)
{
    double weight;

    if (level < 0) {
        return;
    }
    if (v->level >= MAX_LEVEL) {
        v->level = level;
    }
    weight = 1 - exp(-(double)(now - v->at) / LEVEL_TAU_US);
    v->level += (level - v->level) * MAX(weight, MIN_WEIGHT);
    v->at = now;
}

static void
raise_idle_levels(GHashTable *views, int64_t now, int top)
{
    GHashTableIter it;
    gpointer k, p;

    g_hash_table_iter_init(&it, views);
    while (g_hash_table_iter_next(&it, &k, &p)) {
        SpLevelView *v = p;
        if (v->unanswered == 0 && now - v->at > IDLE_US && v->level < top) {
            v->level += IDLE_STEP * top;
        }
    }
}

int
SpCore_MaxLevel(const SpCore *c)
{
    return (c->doc ? c->doc->nclasses : 1) * SP_SLICES;
}

void
SpCore_TickViews(SpCore *c, int64_t now)
{
    int top = SpCore_MaxLevel(c);

    if (now - c->views_ticked_at < TICK_US) {
        return;
    }
    c->views_ticked_at = now;
    raise_idle_levels(c->route_views, now, top);
    raise_idle_levels(c->service_views, now, top);
}

int
SpCore_RouteLevel(const SpCore *c, const char *route)
{
    const SpLevelView *v = g_hash_table_lookup(c->route_views, route);
    int top = SpCore_MaxLevel(c);

    /* the average approaches the top level, but never quite reaches it */
    return v && v->level < top - 1 ? (int)(v->level + 0.5) : top;
}
