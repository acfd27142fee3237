/* What entries know of the levels that the services behind them admit. */
#include <string.h>

#include "core/state.h"

#define NOTE_WEIGHT 0.1
/* Without answers for this long a level rises by itself. */
#define SILENT_US (300 * SP_MS)
#define SILENT_STEP 0.02
#define TICK_US (50 * SP_MS)
#define FULL_LEVEL (SP_MAX_CLASSES * SP_SLICES)

SpLevelView *
SpCore_View(GHashTable *views, const char *name)
{
    SpLevelView *v = g_hash_table_lookup(views, name);

    if (!v) {
        v = g_new0(SpLevelView, 1);
        v->level = FULL_LEVEL;
        g_hash_table_insert(views, g_strdup(name), v);
    }
    return v;
}

void
SpView_Note(SpLevelView *v, int64_t now, int level)
{
    if (level < 0) {
        return;
    }
    if (v->level >= FULL_LEVEL) {
        v->level = level;
    }
    v->level += (level - v->level) * NOTE_WEIGHT;
    v->at = now;
}

static void
raise_silent(GHashTable *views, int64_t now, int top)
{
    GHashTableIter it;
    gpointer k, p;

    g_hash_table_iter_init(&it, views);
    while (g_hash_table_iter_next(&it, &k, &p)) {
        SpLevelView *v = p;
        if (now - v->at > SILENT_US && v->level < top) {
            v->level += SILENT_STEP * top;
        }
    }
}

void
SpCore_TickViews(SpCore *c, int64_t now)
{
    int top = (c->doc ? c->doc->nclasses : 1) * SP_SLICES;

    if (now - c->views_ticked < TICK_US) {
        return;
    }
    c->views_ticked = now;
    raise_silent(c->route_views, now, top);
    raise_silent(c->serv_views, now, top);
}

int
SpCore_RouteLevel(const SpCore *c, const char *route)
{
    const SpLevelView *v = g_hash_table_lookup(c->route_views, route);
    int top = (c->doc ? c->doc->nclasses : 1) * SP_SLICES;

    return v && v->level < top ? (int)v->level : top;
}
