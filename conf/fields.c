#include <math.h>
#include <stdarg.h>
#include <string.h>

#include "conf/conf.h"

static void
free_problem(gpointer p)
{
    SpProblem *pr = p;

    g_free(pr->place);
    g_free(pr->text);
    g_free(pr);
}

SpProblems *
SpProblems_New(void)
{
    SpProblems *ps = g_new0(SpProblems, 1);

    ps->list = g_ptr_array_new_with_free_func(free_problem);
    return ps;
}

void
SpProblems_Free(SpProblems *ps)
{
    if (ps) {
        g_ptr_array_free(ps->list, TRUE);
        g_free(ps);
    }
}

void
SpProblems_Add(SpProblems *ps, const char *place, const char *fmt, ...)
{
    SpProblem *p = g_new0(SpProblem, 1);
    va_list ap;

    va_start(ap, fmt);
    p->place = g_strdup(place);
    p->text = g_strdup_vprintf(fmt, ap);
    va_end(ap);
    g_ptr_array_add(ps->list, p);
}

guint
SpProblems_Count(const SpProblems *ps)
{
    return ps->list->len;
}

const SpProblem *
SpProblems_At(const SpProblems *ps, guint i)
{
    return g_ptr_array_index(ps->list, i);
}

void
SpProblems_Print(const SpProblems *ps, const char *prog, const char *file,
                 FILE *out)
{
    guint i;

    for (i = 0; i < ps->list->len; i++) {
        const SpProblem *p = SpProblems_At(ps, i);
        fprintf(out, "%s: %s: %s: %s\n", prog, file, p->place, p->text);
    }
}

static const char *
type_name(const json_t *v)
{
    static const char *const names[] = {"an object", "a list",   "a string",
                                        "a number",  "a number", "true",
                                        "false",     "null"};

    return names[json_typeof(v)];
}

static void
join_path(char *buf, size_t n, const char *place, const char *name)
{
    if (*place) {
        g_snprintf(buf, n, "%s.%s", place, name);
    }
    else {
        g_strlcpy(buf, name, n);
    }
}

static const SpField *
find_field(const SpField *fs, const char *name)
{
    for (; fs->name; fs++) {
        if (strcmp(fs->name, name) == 0) {
            return fs;
        }
    }
    return NULL;
}

static void
report_unknown(const SpField *fs, const char *place, SpProblems *ps)
{
    GString *known = g_string_new(NULL);

    for (; fs->name; fs++) {
        g_string_append_printf(known, "%s%s", known->len ? ", " : "",
                               fs->name);
    }
    SpProblems_Add(ps, place, "unknown field; remove it, or use one of: %s",
                   known->str);
    g_string_free(known, TRUE);
}

void
SpFields_Read(const SpField *fs, const json_t *o, void *dst, const char *place,
              SpProblems *ps)
{
    char sub[256];
    const char *name;
    const SpField *f;
    json_t *v;

    if (!json_is_object(o)) {
        SpProblems_Add(ps, *place ? place : "top", "must be an object, not %s",
                       type_name(o));
        return;
    }
    json_object_foreach((json_t *)o, name, v)
    {
        join_path(sub, sizeof sub, place, name);
        f = find_field(fs, name);
        if (f) {
            f->read(f, v, (char *)dst + f->off, sub, ps);
        }
        else {
            report_unknown(fs, sub, ps);
        }
    }
    for (f = fs; f->name; f++) {
        if (f->required && !json_object_get(o, f->name)) {
            join_path(sub, sizeof sub, place, f->name);
            SpProblems_Add(ps, sub, "missing; add it");
        }
    }
}

void
SpRead_Int(const SpField *f, const json_t *v, void *dst, const char *place,
           SpProblems *ps)
{
    if (!json_is_integer(v)) {
        SpProblems_Add(ps, place, "must be a whole number, not %s",
                       type_name(v));
        return;
    }
    if ((double)json_integer_value(v) < f->lo ||
        (double)json_integer_value(v) > f->hi) {
        SpProblems_Add(ps, place, "must be from %.0f to %.0f", f->lo, f->hi);
        return;
    }
    *(int *)dst = (int)json_integer_value(v);
}

void
SpRead_Real(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    double x;

    if (!json_is_number(v)) {
        SpProblems_Add(ps, place, "must be a number, not %s", type_name(v));
        return;
    }
    x = json_number_value(v);
    if (!(x >= f->lo && x <= f->hi)) {
        SpProblems_Add(ps, place, "must be from %g to %g", f->lo, f->hi);
        return;
    }
    *(double *)dst = x;
}

void
SpRead_Bool(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    (void)f;
    if (!json_is_boolean(v)) {
        SpProblems_Add(ps, place, "must be true or false, not %s",
                       type_name(v));
        return;
    }
    *(int *)dst = json_is_true(v);
}

void
SpRead_Str(const SpField *f, const json_t *v, void *dst, const char *place,
           SpProblems *ps)
{
    if (!json_is_string(v)) {
        SpProblems_Add(ps, place, "must be a string, not %s", type_name(v));
        return;
    }
    if (json_string_length(v) >= f->size ||
        strlen(json_string_value(v)) != json_string_length(v)) {
        SpProblems_Add(ps, place, "must have at most %zu bytes, none zero",
                       f->size - 1);
        return;
    }
    g_strlcpy(dst, json_string_value(v), f->size);
}

void
SpRead_Text(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    char **to = dst;

    (void)f;
    if (!json_is_string(v)) {
        SpProblems_Add(ps, place, "must be a string, not %s", type_name(v));
        return;
    }
    g_free(*to);
    *to = g_strdup(json_string_value(v));
}

void
SpRead_Name(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    const char *s;

    if (json_is_string(v)) {
        s = json_string_value(v);
        if (!*s || strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789-_.") !=
                       json_string_length(v)) {
            SpProblems_Add(ps, place,
                           "must be a name of a-z, 0-9, '-', '_' and '.'");
            return;
        }
    }
    SpRead_Str(f, v, dst, place, ps);
}

void
SpRead_Addr(const SpField *f, const json_t *v, void *dst, const char *place,
            SpProblems *ps)
{
    if (!json_is_string(v) ||
        !SpParse_Addr(json_string_value(v), NULL, 0, NULL)) {
        SpProblems_Add(ps, place,
                       "must be an IPv4 number and port, as 127.0.0.1:8080");
        return;
    }
    SpRead_Str(f, v, dst, place, ps);
}

void
SpRead_Object(const SpField *f, const json_t *v, void *dst, const char *place,
              SpProblems *ps)
{
    SpFields_Read(f->sub, v, dst, place, ps);
}

json_t *
SpJson_Load(const char *text, size_t n, SpProblems *ps)
{
    json_error_t e;
    json_t *j = json_loadb(text, n, JSON_REJECT_DUPLICATES, &e);
    char place[64];

    if (!j) {
        g_snprintf(place, sizeof place, "line %d, column %d", e.line,
                   e.column);
        SpProblems_Add(ps, place, "not valid JSON: %s; mend it here", e.text);
    }
    return j;
}

json_t *
SpJson_LoadFile(const char *file, SpProblems *ps)
{
    GError *err = NULL;
    gchar *text;
    gsize n;
    json_t *j;

    if (!g_file_get_contents(file, &text, &n, &err)) {
        SpProblems_Add(ps, "file", "cannot be read: %s", err->message);
        g_error_free(err);
        return NULL;
    }
    j = SpJson_Load(text, n, ps);
    g_free(text);
    return j;
}
