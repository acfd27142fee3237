#include <string.h>

#include "conf/conf.h"

#define OFF(m) offsetof(SpNodeSettings, m)

static const SpField token_fields[] = {
    {"name", SpRead_Name, offsetof(SpToken, name), 1, 0, 0, SP_NAME_BYTES,
     NULL},
    {"token", SpRead_Str, offsetof(SpToken, token), 1, 0, 0, 128, NULL},
    {"role", SpRead_Str, offsetof(SpToken, role), 1, 0, 0, 16, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static int
check_max_entries(const SpField *f, const json_t *v, const char *place,
                  SpProblems *ps)
{
    if (!json_is_array(v) || (double)json_array_size(v) > f->hi) {
        SpProblems_Add(ps, place, "must be a list of at most %.0f entries",
                       f->hi);
        return 0;
    }
    return 1;
}

static void
read_contacts(const SpField *f, const json_t *v, void *dst, const char *place,
              SpProblems *ps)
{
    static const SpField addr = {NULL, NULL, 0, 0, 0, 0, SP_ADDR_BYTES, NULL};
    char(*entries)[SP_ADDR_BYTES] = dst;
    char sub[64];
    size_t i;

    if (!check_max_entries(f, v, place, ps)) {
        return;
    }
    for (i = 0; i < json_array_size(v); i++) {
        g_snprintf(sub, sizeof sub, "%s[%zu]", place, i);
        SpRead_Addr(&addr, json_array_get(v, i), entries[i], sub, ps);
    }
}

static void
read_tokens(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    SpToken *entries = dst;
    char sub[64];
    size_t i;

    if (!check_max_entries(f, v, place, ps)) {
        return;
    }
    for (i = 0; i < json_array_size(v); i++) {
        g_snprintf(sub, sizeof sub, "%s[%zu]", place, i);
        SpFields_Read(token_fields, json_array_get(v, i), &entries[i], sub,
                      ps);
        if (strcmp(entries[i].role, "view") != 0 &&
            strcmp(entries[i].role, "change") != 0) {
            SpProblems_Add(ps, sub, "role must be \"view\" or \"change\"");
        }
        if (strlen(entries[i].token) < 8) {
            SpProblems_Add(ps, sub, "token must have at least 8 characters");
        }
    }
}

static const SpField node_fields[] = {
    {"name", SpRead_Name, OFF(name), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"zone", SpRead_Name, OFF(zone), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"service", SpRead_Name, OFF(service), 1, 0, 0, SP_NAME_BYTES, NULL},
    {"instance", SpRead_Addr, OFF(instance), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"inbound", SpRead_Addr, OFF(inbound), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"outbound", SpRead_Addr, OFF(outbound), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"mesh", SpRead_Addr, OFF(mesh), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"peer", SpRead_Addr, OFF(peer), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"admin", SpRead_Addr, OFF(admin), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"log", SpRead_Addr, OFF(log), 1, 0, 0, SP_ADDR_BYTES, NULL},
    {"contacts", read_contacts, OFF(contacts), 0, 0, SP_MAX_CONTACTS, 0, NULL},
    {"mesh_token", SpRead_Str, OFF(mesh_token), 1, 0, 0, 128, NULL},
    {"peer_public", SpRead_Str, OFF(peer_public), 0, 0, 0, SP_KEY_BYTES, NULL},
    {"peer_secret", SpRead_Str, OFF(peer_secret), 0, 0, 0, SP_KEY_BYTES, NULL},
    {"tokens", read_tokens, OFF(tokens), 0, 0, SP_MAX_TOKENS, 0, NULL},
    {"log_level", SpRead_Str, OFF(log_level), 0, 0, 0, 16, NULL},
    {"slots", SpRead_Int, OFF(slots), 0, 0, 100000, 0, NULL},
    {"stop_ms", SpRead_Int, OFF(stop_ms), 0, 0, 600000, 0, NULL},
    {"idle_ms", SpRead_Int, OFF(idle_ms), 0, 100, 3600000, 0, NULL},
    {"max_connections", SpRead_Int, OFF(max_connections), 0, 1, 1000000, 0,
     NULL},
    {"header_bytes", SpRead_Int, OFF(header_bytes), 0, 256, 65536, 0, NULL},
    {"memory_mb", SpRead_Int, OFF(memory_mb), 0, 16, 65536, 0, NULL},
    {"fault_drops", SpRead_Bool, OFF(fault_drops), 0, 0, 0, 0, NULL},
    {NULL, NULL, 0, 0, 0, 0, 0, NULL}};

static void
check_settings(const SpNodeSettings *s, SpProblems *ps)
{
    const char *listen[] = {s->inbound, s->outbound, s->mesh, s->peer,
                            s->admin};
    static const char *const names[] = {"inbound", "outbound", "mesh", "peer",
                                        "admin"};
    SpLevel level;
    size_t i, k;

    for (i = 0; i < G_N_ELEMENTS(listen); i++) {
        for (k = 0; k < i; k++) {
            if (listen[i][0] && strcmp(listen[i], listen[k]) == 0) {
                SpProblems_Add(ps, names[i],
                               "is also %s; give each listener its own port",
                               names[k]);
            }
        }
    }
    if (strlen(s->mesh_token) < 8) {
        SpProblems_Add(ps, "mesh_token", "must have at least 8 characters");
    }
    if (!s->peer_public[0] != !s->peer_secret[0]) {
        SpProblems_Add(ps, "peer_secret",
                       "must be set together with peer_public, or not at all");
    }
    if (s->peer_public[0] &&
        (strlen(s->peer_public) != 40 || strlen(s->peer_secret) != 40)) {
        SpProblems_Add(ps, "peer_public",
                       "must have 40 characters, as must peer_secret; create "
                       "a pair with spctl keys");
    }
    if (!SpLevel_Parse(s->log_level, &level)) {
        SpProblems_Add(ps, "log_level", "must be error, warn, info or debug");
    }
}

int
SpNodeSettings_Load(const char *file, SpNodeSettings *s, SpProblems *ps)
{
    guint before = SpProblems_Count(ps);
    json_t *j = SpJson_LoadFile(file, ps);

    memset(s, 0, sizeof *s);
    g_strlcpy(s->log_level, "info", sizeof s->log_level);
    s->idle_ms = 30000;
    s->max_connections = 4096;
    s->memory_mb = 256;
    s->header_bytes = 16384;
    if (!j) {
        return 0;
    }
    SpFields_Read(node_fields, j, s, "", ps);
    if (json_is_object(j)) {
        s->ncontacts = (int)json_array_size(json_object_get(j, "contacts"));
        s->ntokens = (int)json_array_size(json_object_get(j, "tokens"));
        check_settings(s, ps);
    }
    json_decref(j);
    return SpProblems_Count(ps) == before;
}
