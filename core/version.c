#include <string.h>

#include "core/version.h"

#define MAX_HISTORY 64
#define MAX_SEEN 128
#define MAX_WAITING 64

typedef struct Seen {
    char id[SP_ID_BYTES];
    SpPublishState state;
} Seen;

/* A publish record that was read after a gap. */
typedef struct Waiting {
    int64_t offset;
    json_t *record;
} Waiting;

struct SpVersions {
    SpVersion *current;
    int64_t cursor; /* next offset to read */
    int64_t checkpoint_offset;
    int gap;
    int64_t gap_end;    /* first offset read after the gap */
    GArray *waiting;    /* of Waiting */
    GPtrArray *history; /* of SpVersion, oldest first */
    GArray *seen;       /* of Seen, oldest first */
};

static void
free_version(gpointer p)
{
    SpVersion *v = p;

    if (v) {
        g_free(v->text);
        g_free(v->doc);
        g_free(v);
    }
}

SpVersions *
SpVersions_New(void)
{
    SpVersions *vs = g_new0(SpVersions, 1);

    vs->history = g_ptr_array_new_with_free_func(free_version);
    vs->seen = g_array_new(FALSE, TRUE, sizeof(Seen));
    vs->waiting = g_array_new(FALSE, TRUE, sizeof(Waiting));
    return vs;
}

static void
clear_waiting(SpVersions *vs)
{
    guint i;

    for (i = 0; i < vs->waiting->len; i++) {
        json_decref(g_array_index(vs->waiting, Waiting, i).record);
    }
    g_array_set_size(vs->waiting, 0);
}

void
SpVersions_Free(SpVersions *vs)
{
    if (!vs) {
        return;
    }
    clear_waiting(vs);
    g_array_free(vs->waiting, TRUE);
    g_array_free(vs->seen, TRUE);
    g_ptr_array_free(vs->history, TRUE);
    g_free(vs);
}

void
SpVersions_SetRange(SpVersions *vs, int64_t oldest, int64_t next)
{
    (void)next;
    if (vs->cursor < oldest) {
        vs->gap = 1;
        vs->gap_end = oldest;
        vs->cursor = oldest;
        clear_waiting(vs);
    }
}

static const char *
get_text(const json_t *o, const char *name)
{
    const char *s = json_string_value(json_object_get(o, name));

    return s ? s : "";
}

static int64_t
number_of(const json_t *o, const char *name)
{
    return json_integer_value(json_object_get(o, name));
}

static void
record_state(SpVersions *vs, const char *id, SpPublishState st)
{
    Seen s;

    if (!*id) {
        return;
    }
    g_strlcpy(s.id, id, sizeof s.id);
    s.state = st;
    if (vs->seen->len >= MAX_SEEN) {
        g_array_remove_index(vs->seen, 0);
    }
    g_array_append_val(vs->seen, s);
}

SpPublishState
SpVersions_State(const SpVersions *vs, const char *id)
{
    guint i;

    for (i = vs->seen->len; i > 0; i--) {
        const Seen *s = &g_array_index(vs->seen, Seen, i - 1);
        if (strcmp(s->id, id) == 0) {
            return s->state;
        }
    }
    return SP_PUBLISH_UNKNOWN;
}

static void
hash_text(char *to, size_t n, const char *text)
{
    g_snprintf(to, n, "%016" PRIx64, SpHash(text, strlen(text), 0));
}

/* Puts the record's document in force; returns 0 if it is invalid. */
static int
activate(SpVersions *vs, int64_t wall_ms, const json_t *r, int number,
         int64_t offset)
{
    const char *text = get_text(r, "doc");
    SpProblems *ps = SpProblems_New();
    SpDoc *d = SpDoc_Parse(text, strlen(text), ps);
    SpVersion *v;

    SpProblems_Free(ps);
    if (!d) {
        return 0;
    }
    v = g_new0(SpVersion, 1);
    v->number = number;
    v->offset = offset;
    g_strlcpy(v->id, get_text(r, "id"), sizeof v->id);
    g_strlcpy(v->by, get_text(r, "by"), sizeof v->by);
    g_strlcpy(v->reason, get_text(r, "reason"), sizeof v->reason);
    v->at_ms = number_of(r, "at_ms");
    v->since_ms = wall_ms;
    v->text = g_strdup(text);
    v->doc = d;
    hash_text(v->hash, sizeof v->hash, text);
    if (vs->history->len >= MAX_HISTORY) {
        g_ptr_array_remove_index(vs->history, 0);
    }
    g_ptr_array_add(vs->history, v);
    vs->current = v;
    vs->checkpoint_offset = MAX(vs->checkpoint_offset, offset);
    return 1;
}

static int
apply_publish(SpVersions *vs, int64_t wall_ms, int64_t offset, const json_t *r)
{
    int now = vs->current ? vs->current->number : 0;
    const char *id = get_text(r, "id");

    if (vs->current && offset <= vs->current->offset) {
        return 0;
    }
    if (number_of(r, "replaces") != now) {
        record_state(vs, id, SP_PUBLISH_CONFLICT);
        return 0;
    }
    if (!activate(vs, wall_ms, r, now + 1, offset)) {
        record_state(vs, id, SP_PUBLISH_INVALID);
        return 0;
    }
    record_state(vs, id, SP_PUBLISH_ACCEPTED);
    return 1;
}

/* Decides the records held back after the gap. Those up to as_of are already
   accounted for by the version in force. */
static int
close_gap(SpVersions *vs, int64_t wall_ms, int64_t as_of)
{
    int changed = 0;
    guint i;

    vs->gap = 0;
    for (i = 0; i < vs->waiting->len; i++) {
        Waiting *w = &g_array_index(vs->waiting, Waiting, i);
        if (w->offset > as_of) {
            changed |= apply_publish(vs, wall_ms, w->offset, w->record);
        }
        else if (vs->current && w->offset == vs->current->offset) {
            record_state(vs, vs->current->id, SP_PUBLISH_ACCEPTED);
        }
        else {
            record_state(vs, get_text(w->record, "id"), SP_PUBLISH_CONFLICT);
        }
    }
    clear_waiting(vs);
    return changed;
}

/* Applies the version that another node had in force after reading up to
   as_of. */
static int
apply_keep(SpVersions *vs, int64_t wall_ms, const json_t *r)
{
    int number = (int)number_of(r, "version");
    int64_t as_of = number_of(r, "as_of"), offset = number_of(r, "offset");
    int now = vs->current ? vs->current->number : 0, changed = 0;

    if (number < 1 || offset < 0 || as_of < offset) {
        return 0;
    }
    if (number > now) {
        if (!activate(vs, wall_ms, r, number, offset)) {
            return 0;
        }
        record_state(vs, vs->current->id, SP_PUBLISH_ACCEPTED);
        changed = 1;
        if (offset + 1 > vs->cursor) {
            vs->cursor = offset + 1;
            vs->gap = 0;
            clear_waiting(vs);
        }
    }
    if (vs->gap && number >= now && as_of + 1 >= vs->gap_end) {
        changed |= close_gap(vs, wall_ms, as_of);
    }
    return changed;
}

int
SpVersions_ApplyRecord(SpVersions *vs, int64_t wall_ms, int64_t offset,
                       const char *p, size_t n)
{
    json_t *r;
    const char *kind;
    Waiting w;
    int changed = 0;

    if (offset < vs->cursor) {
        return 0;
    }
    vs->cursor = offset + 1;
    r = json_loadb(p, n, 0, NULL);
    kind = get_text(r, "kind");
    if (strcmp(kind, "keep") == 0) {
        changed = apply_keep(vs, wall_ms, r);
        if (vs->current && number_of(r, "version") == vs->current->number) {
            vs->checkpoint_offset = MAX(vs->checkpoint_offset, offset);
        }
    }
    else if (strcmp(kind, "publish") == 0 && vs->gap) {
        w.offset = offset;
        w.record = json_incref(r);
        if (vs->waiting->len < MAX_WAITING) {
            g_array_append_val(vs->waiting, w);
        }
        else {
            /* too many to hold: treat these records as missed, too */
            json_decref(r);
            clear_waiting(vs);
            vs->gap_end = offset + 1;
        }
    }
    else if (strcmp(kind, "publish") == 0) {
        changed = apply_publish(vs, wall_ms, offset, r);
    }
    json_decref(r);
    return changed;
}

int
SpVersions_ApplyPeerRecord(SpVersions *vs, int64_t wall_ms, const char *p,
                           size_t n)
{
    json_t *r = json_loadb(p, n, 0, NULL);
    int changed = 0;

    if (strcmp(get_text(r, "kind"), "keep") == 0) {
        changed = apply_keep(vs, wall_ms, r);
    }
    json_decref(r);
    return changed;
}

int64_t
SpVersions_Cursor(const SpVersions *vs)
{
    return vs->cursor;
}

int
SpVersions_Gap(const SpVersions *vs)
{
    return vs->gap;
}

const SpVersion *
SpVersions_Current(const SpVersions *vs)
{
    return vs->current;
}

int64_t
SpVersions_CheckpointOffset(const SpVersions *vs)
{
    return vs->checkpoint_offset;
}

static char *
to_text(json_t *r)
{
    char *s = json_dumps(r, JSON_COMPACT), *copy = g_strdup(s);

    free(s);
    json_decref(r);
    return copy;
}

char *
SpVersions_MakePublish(const char *id, int replaces, const char *by,
                       const char *reason, int64_t at_ms, const char *text)
{
    return to_text(json_pack("{s:s, s:s, s:i, s:s, s:s, s:I, s:s}", "kind",
                             "publish", "id", id, "replaces", replaces, "by",
                             by, "reason", reason, "at_ms", (json_int_t)at_ms,
                             "doc", text));
}

char *
SpVersions_MakeKeep(const SpVersions *vs)
{
    const SpVersion *v = vs->current;
    int64_t as_of = vs->cursor - 1;

    /* with a gap, only the records up to the version's own are accounted for
     */
    if (vs->gap) {
        as_of = v->offset;
    }
    return to_text(json_pack(
        "{s:s, s:s, s:i, s:I, s:I, s:s, s:s, s:I, s:s}", "kind", "keep", "id",
        v->id, "version", v->number, "offset", (json_int_t)v->offset, "as_of",
        (json_int_t)MAX(as_of, v->offset), "by", v->by, "reason", v->reason,
        "at_ms", (json_int_t)v->at_ms, "doc", v->text));
}

const SpVersion *
SpVersions_History(const SpVersions *vs, guint i)
{
    if (i >= vs->history->len) {
        return NULL;
    }
    return g_ptr_array_index(vs->history, vs->history->len - 1 - i);
}
