#include <math.h>
#include <string.h>

#include "core/pick.h"

#define EJECT_FAILURES 5
#define EJECT_US (1 * SP_SEC)
#define EJECT_MAX_US (30 * SP_SEC)
/* Half-life of a reported load. */
#define LOAD_HALF_LIFE_US (500 * SP_MS)
/* Above this load, in percent, other zones are considered too. */
#define FULL_LOAD 90.0
#define RUN_WEIGHT 0.1
#define MAX_SLOWDOWN 8.0
/* Calls per accepted call before throttling starts. */
#define THROTTLE_K 2.0
#define THROTTLE_K_CLASS0 4.0
#define THROTTLE_TAU_US (5 * SP_SEC)
#define THROTTLE_MIN 20.0

struct SpPicker {
    SpPickerOpts o;
    SpTable *table;
    GArray *handles; /* of SpHandle, all targets in the table */
    uint64_t rand;
    double requested, accepted; /* exponentially decaying counts */
    int64_t decayed;
};

SpPicker *
SpPicker_New(const SpPickerOpts *o)
{
    SpPicker *p = g_new0(SpPicker, 1);

    p->o = *o;
    p->rand = o->seed;
    p->table = SpTable_New(sizeof(SpTarget));
    p->handles = g_array_new(FALSE, TRUE, sizeof(SpHandle));
    return p;
}

void
SpPicker_Free(SpPicker *p)
{
    if (p) {
        SpTable_Free(p->table);
        g_array_free(p->handles, TRUE);
        g_free(p);
    }
}

void
SpPicker_Configure(SpPicker *p, int ramp_ms, int uniform)
{
    p->o.ramp_ms = ramp_ms;
    p->o.uniform = uniform;
}

guint
SpPicker_Count(const SpPicker *p)
{
    return p->handles->len;
}

static SpTarget *
target_at(const SpPicker *p, guint i)
{
    return SpTable_Get(p->table, g_array_index(p->handles, SpHandle, i));
}

const SpTarget *
SpPicker_At(const SpPicker *p, guint i)
{
    return target_at(p, i);
}

SpHandle
SpPicker_Find(const SpPicker *p, const char *name)
{
    guint i;

    for (i = 0; i < p->handles->len; i++) {
        if (strcmp(target_at(p, i)->name, name) == 0) {
            return g_array_index(p->handles, SpHandle, i);
        }
    }
    return 0;
}

const SpTarget *
SpPicker_Get(const SpPicker *p, SpHandle h)
{
    return SpTable_Get(p->table, h);
}

static void
remove_target(SpPicker *p, SpHandle h)
{
    guint i;

    for (i = 0; i < p->handles->len; i++) {
        if (g_array_index(p->handles, SpHandle, i) == h) {
            g_array_remove_index_fast(p->handles, i);
            break;
        }
    }
    SpTable_Remove(p->table, h);
}

void
SpPicker_UpdateMember(SpPicker *p, int64_t now, const SpMember *m)
{
    SpHandle h = SpPicker_Find(p, m->name);
    SpTarget *t = SpTable_Get(p->table, h);

    if (m->state == SP_MEMBER_DOWN) {
        if (t) {
            remove_target(p, h);
        }
        return;
    }
    if (t && t->inc != m->inc) {
        remove_target(p, h);
        t = NULL;
    }
    if (!t) {
        t = SpTable_Add(p->table, &h);
        g_array_append_val(p->handles, h);
        g_strlcpy(t->name, m->name, sizeof t->name);
        t->inc = m->inc;
        t->clock_ms = -1;
        t->up_since = now;
    }
    g_strlcpy(t->zone, m->zone, sizeof t->zone);
    g_strlcpy(t->mesh, m->mesh, sizeof t->mesh);
    t->same_zone = strcmp(m->zone, p->o.zone) == 0;
    t->slots = MAX(m->slots, 1);
    if (m->state == SP_MEMBER_UP && !t->accepts) {
        t->up_since = now;
    }
    t->accepts = m->state == SP_MEMBER_UP || m->state == SP_MEMBER_SUSPECT;
    if (m->clock_ms > t->clock_ms) {
        t->clock_ms = m->clock_ms;
        t->clock_at = m->clock_at;
    }
}

static int
is_avoided(const SpTarget *t, const char *const *avoid, int navoid)
{
    int i;

    for (i = 0; i < navoid; i++) {
        if (strcmp(t->name, avoid[i]) == 0) {
            return 1;
        }
    }
    return 0;
}

static double
load_of(const SpTarget *t, int64_t now)
{
    double age = (double)(now - t->load_at);

    return t->load * exp2(-age / LOAD_HALF_LIFE_US) +
           100.0 * t->inflight / t->slots;
}

/* The relative expected cost of one more call; lower is better. */
static double
cost_of(const SpPicker *p, const SpTarget *t, int64_t now, double fastest)
{
    double cost = load_of(t, now) + 10;
    int64_t age = now - t->up_since, ramp = p->o.ramp_ms * SP_MS;

    if (fastest > 0 && t->run_us > fastest) {
        cost *= MIN(t->run_us / fastest, MAX_SLOWDOWN);
    }
    if (age < ramp) {
        cost *= (double)ramp / (double)MAX(age, ramp / 10);
    }
    return cost;
}

typedef struct Filter {
    int64_t now;
    const char *const *avoid;
    int navoid;
    int64_t fresh_us;
    int local_only; /* 1: only targets in the local zone */
    int ejected;    /* 1: include ejected targets */
} Filter;

static int
is_eligible(const SpTarget *t, const Filter *f)
{
    if (!t->accepts || (f->local_only && !t->same_zone)) {
        return 0;
    }
    if (!f->ejected && t->ejected_until > f->now) {
        return 0;
    }
    if (f->fresh_us &&
        (t->clock_ms < 0 || f->now - t->clock_at > f->fresh_us)) {
        return 0;
    }
    return !is_avoided(t, f->avoid, f->navoid);
}

static guint
list_eligible(const SpPicker *p, const Filter *f, guint *out, guint max)
{
    guint i, n = 0;

    for (i = 0; i < p->handles->len && n < max; i++) {
        if (is_eligible(target_at(p, i), f)) {
            out[n++] = i;
        }
    }
    return n;
}

static int
choose_of_two(SpPicker *p, const Filter *f, double *load)
{
    guint list[1024], n = list_eligible(p, f, list, G_N_ELEMENTS(list));
    const SpTarget *a, *b;
    double fastest;
    guint i, k;

    if (n == 0) {
        return -1;
    }
    i = list[SpRand(&p->rand) % n];
    k = list[SpRand(&p->rand) % n];
    if (p->o.uniform || n == 1) {
        *load = load_of(target_at(p, i), f->now);
        return (int)i;
    }
    while (k == i) {
        k = list[SpRand(&p->rand) % n];
    }
    a = target_at(p, i);
    b = target_at(p, k);
    fastest = MIN(a->run_us, b->run_us);
    if (cost_of(p, b, f->now, fastest) < cost_of(p, a, f->now, fastest)) {
        i = k;
    }
    *load = load_of(target_at(p, i), f->now);
    return (int)i;
}

SpHandle
SpPicker_Choose(SpPicker *p, int64_t now, const char *const *avoid, int navoid,
                int64_t fresh_us)
{
    Filter f = {now, avoid, navoid, fresh_us, !p->o.uniform, p->o.uniform};
    double load = 0, any_load = 0;
    int best = choose_of_two(p, &f, &load), any;

    f.local_only = 0;
    if (best < 0 || load > FULL_LOAD) {
        any = choose_of_two(p, &f, &any_load);
        if (best < 0 || (any >= 0 && any_load < load * 0.8)) {
            best = any;
        }
    }
    if (best < 0) {
        f.ejected = 1;
        best = choose_of_two(p, &f, &load);
    }
    if (best < 0) {
        f.navoid = 0;
        best = choose_of_two(p, &f, &load);
    }
    return best < 0 ? 0 : g_array_index(p->handles, SpHandle, best);
}

static void
decay_counts(SpPicker *p, int64_t now)
{
    double f = exp(-(double)(now - p->decayed) / THROTTLE_TAU_US);

    p->requested *= f;
    p->accepted *= f;
    p->decayed = now;
}

int
SpPicker_Throttle(SpPicker *p, int64_t now, int class)
{
    double k = class == 0 ? THROTTLE_K_CLASS0 : THROTTLE_K, refuse;

    decay_counts(p, now);
    refuse =
        (p->requested - k * p->accepted - THROTTLE_MIN) / (p->requested + 1);
    if (refuse > 0 && SpRand_Unit(&p->rand) < refuse) {
        p->requested++;
        return 1;
    }
    return 0;
}

void
SpPicker_CallSent(SpPicker *p, SpHandle h)
{
    SpTarget *t = SpTable_Get(p->table, h);

    if (t) {
        t->inflight++;
        t->sent++;
    }
}

static void
eject(SpPicker *p, SpTarget *t, int64_t now)
{
    guint i, out = 0;

    for (i = 0; i < p->handles->len; i++) {
        out += target_at(p, i)->ejected_until > now;
    }
    if (p->o.uniform || (out + 1) * 2 > p->handles->len) {
        return;
    }
    t->ejected_until =
        now + MIN(EJECT_US << MIN(t->ejections, 5), EJECT_MAX_US);
    t->ejections++;
    t->failures = 0;
}

void
SpPicker_CallDone(SpPicker *p, int64_t now, SpHandle h, int64_t run_us, int ok,
                  int load, int leaving)
{
    SpTarget *t = SpTable_Get(p->table, h);

    decay_counts(p, now);
    p->requested++;
    p->accepted += ok;
    if (!t) {
        return;
    }
    t->inflight--;
    if (leaving) {
        t->accepts = 0;
    }
    if (load >= 0) {
        t->load = load;
        t->load_at = now;
    }
    if (ok) {
        t->failures = 0;
        t->ejections = 0;
        t->run_us +=
            ((double)run_us - t->run_us) * (t->run_us > 0 ? RUN_WEIGHT : 1);
    }
    else if (++t->failures >= EJECT_FAILURES) {
        eject(p, t, now);
    }
}

void
SpPicker_UpdateClock(SpPicker *p, int64_t now, SpHandle h, int64_t clock_ms)
{
    SpTarget *t = SpTable_Get(p->table, h);

    if (t && clock_ms > t->clock_ms) {
        t->clock_ms = clock_ms;
        t->clock_at = now;
    }
}
