/* Requests to nodes with quotas under a virtual clock, and what is counted. */
#include <math.h>
#include <string.h>

#include "test/quotasim_priv.h"

static guint
pick_zone(Sim *s)
{
    double u = SpRand_Unit(&s->rand);
    guint z;

    for (z = 0; z + 1 < s->o.zones && u >= s->zone_part[z]; z++) {
        u -= s->zone_part[z];
    }
    return z;
}

static Node *
pick_node(Sim *s, guint w)
{
    guint z, k;

    if (s->callers[w]) {
        return &s->nodes[SpRand(&s->rand) % s->callers[w]];
    }
    z = pick_zone(s);
    k = (guint)(SpRand(&s->rand) % (s->o.nodes / s->o.zones));
    return &s->nodes[k * s->o.zones + z];
}

static void
arrive(Sim *s, guint w)
{
    Node *n = pick_node(s, w);
    SimCount *c = &s->counts[w];
    int64_t wait = 0;
    int64_t bin = (s->now - s->cleared) / BIN_US;
    int owed = s->bucket[w] >= 1;

    if (n->dead || n->frozen) {
        return;
    }
    c->offered++;
    c->owed += (uint64_t)owed;
    s->bucket[w] -= owed;
    if (SpQuota_Admit(n->quota, s->now, SpWorkspaces_At(n->conf, w), &wait)) {
        c->admitted++;
        if (bin >= 0 && bin < BINS) {
            s->bins[w][bin]++;
        }
    }
}

static void
arrivals(Sim *s)
{
    double dt = (double)STEP_US / SP_SEC;
    guint w;

    for (w = 0; w < s->o.workspaces; w++) {
        double due = s->usual[w] * s->use[w] * dt;
        s->bucket[w] = MIN(s->bucket[w] + s->rate[w] * dt, s->rate[w]);
        /* as many as of a Poisson process */
        double limit = exp(-due), p = SpRand_Unit(&s->rand);
        while (p > limit) {
            arrive(s, w);
            p *= SpRand_Unit(&s->rand);
        }
    }
}

void
Sim_Run(Sim *s, double seconds)
{
    int64_t end = s->now + (int64_t)(seconds * SP_SEC);

    while (s->now < end) {
        s->now += STEP_US;
        step_sim(s);
        arrivals(s);
    }
}

void
Sim_Clear(Sim *s)
{
    guint i;

    memset(s->counts, 0, sizeof s->counts);
    memset(s->bins, 0, sizeof(double[BINS]) * s->o.workspaces);
    s->cleared = s->now;
    s->messages = 0;
    for (i = 0; i < s->o.nodes; i++) {
        s->nodes[i].sent_bytes = 0;
    }
}

const SimCount *
Sim_Count(Sim *s, guint w)
{
    SimCount *c = &s->counts[w];
    const int window = WINDOW_S * (int)(SP_SEC / BIN_US);
    double bound = (s->rate[w] * WINDOW_S + s->rate[w]) * OVERAGE + SLACK;
    double sum = 0;
    int i;

    c->worst = 0;
    for (i = 0; i < BINS; i++) {
        sum += s->bins[w][i] - (i >= window ? s->bins[w][i - window] : 0);
        c->worst = MAX(c->worst, sum / bound);
    }
    c->refused = c->owed > c->admitted ? (double)(c->owed - c->admitted) : 0;
    return c;
}

double
Sim_Worst(Sim *s)
{
    double worst = 0;
    guint w;

    for (w = 0; w < s->o.workspaces; w++) {
        worst = MAX(worst, Sim_Count(s, w)->worst);
    }
    return worst;
}

double
Sim_Refused(Sim *s, const guint *but, guint n)
{
    double owed = 0, refused = 0;
    guint w, i;

    for (w = 0; w < s->o.workspaces; w++) {
        const SimCount *c = Sim_Count(s, w);
        for (i = 0; i < n && but[i] != w; i++) {
        }
        if (i == n) {
            owed += (double)c->owed;
            refused += c->refused;
        }
    }
    return refused / MAX(owed, 1);
}
