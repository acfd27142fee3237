/* The console's form for editing the configuration. */
#include <string.h>

#include "node/admin.h"

typedef struct FormField {
    const char *path; /* of the member in the document, as "object.member" */
    const char *label;
    int is_real;
} FormField;

static const FormField top_fields[] = {
    {"retries.per_request", "Retries of one request, over the whole chain", 0},
    {"retries.ratio", "Retries of a node, as a share of its first attempts",
     1},
    {"limits.body_bytes", "Largest request body, bytes", 0},
    {"limits.answer_bytes", "Largest response body, bytes", 0},
    {"limits.queue_ms", "Target queueing delay, ms", 0},
    {"limits.keys", "Idempotency keys kept for one instance", 0},
    {"limits.key_ttl_ms", "How long idempotency keys are kept, ms", 0},
    {"limits.stop_ms", "Longest graceful stop, ms", 0},
};

static GHashTable *
parse_form(const char *body, size_t n)
{
    GHashTable *f =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    char *copy = g_strndup(body, n);
    char **part = g_strsplit(copy, "&", 0), **p;

    for (p = part; *p; p++) {
        char *eq = strchr(*p, '='), *k, *v;
        if (!eq) {
            continue;
        }
        *eq = '\0';
        g_strdelimit(*p, "+", ' ');
        g_strdelimit(eq + 1, "+", ' ');
        k = g_uri_unescape_string(*p, NULL);
        v = g_uri_unescape_string(eq + 1, NULL);
        if (k && v && g_utf8_validate(v, -1, NULL)) {
            g_hash_table_replace(f, k, v);
        }
        else {
            g_free(k);
            g_free(v);
        }
    }
    g_strfreev(part);
    g_free(copy);
    return f;
}

static const char *
form_value(GHashTable *form, const char *name)
{
    return form ? g_hash_table_lookup(form, name) : NULL;
}

static const char *
problem_at(const SpProblems *ps, const char *place)
{
    guint i;

    for (i = 0; ps && i < SpProblems_Count(ps); i++) {
        if (strcmp(SpProblems_At(ps, i)->place, place) == 0) {
            return SpProblems_At(ps, i)->text;
        }
    }
    return NULL;
}

static void
put_problem(GString *s, const SpProblems *ps, const char *place)
{
    const char *t = problem_at(ps, place);

    if (t) {
        g_string_append(s, " <span class=\"bad\">");
        append_escaped(s, t);
        g_string_append(s, "</span>");
    }
}

static void
put_input(GString *s, const char *name, const char *label, const char *value,
          const SpProblems *ps)
{
    g_string_append(s, "<label>");
    append_escaped(s, label);
    g_string_append_printf(s, " <input name=\"%s\" value=\"", name);
    append_escaped(s, value);
    g_string_append(s, "\"></label>");
    put_problem(s, ps, name);
}

/* Returns a scalar of the document as text; "" for any other value. */
static char *
scalar_text(const json_t *v)
{
    if (json_is_string(v)) {
        return g_strdup(json_string_value(v));
    }
    if (json_is_integer(v)) {
        return g_strdup_printf("%" JSON_INTEGER_FORMAT, json_integer_value(v));
    }
    if (json_is_real(v)) {
        return g_strdup_printf("%g", json_real_value(v));
    }
    return g_strdup("");
}

static json_t *
lookup(json_t *doc, const char *path)
{
    char **part = g_strsplit(path, ".", 2);
    json_t *v = json_object_get(json_object_get(doc, part[0]), part[1]);

    g_strfreev(part);
    return v;
}

/* Converts form input to a number, or to a string if it is not a number, so
   that validation reports it. */
static json_t *
parse_input(const char *t, int is_real)
{
    char *end;
    gint64 v = g_ascii_strtoll(t, &end, 10);
    double x;

    if (*t && !*end) {
        return json_integer(v);
    }
    x = g_ascii_strtod(t, &end);
    return *t && !*end && is_real ? json_real(x) : json_string(t);
}

static void
set_field(json_t *doc, const FormField *f, const char *t)
{
    char **part = g_strsplit(f->path, ".", 2);
    json_t *o = json_object_get(doc, part[0]);

    if (!o) {
        o = json_object();
        json_object_set_new(doc, part[0], o);
    }
    if (*t || json_object_get(o, part[1])) {
        json_object_set_new(o, part[1], parse_input(t, f->is_real));
    }
    g_strfreev(part);
}

/* Copies form values "name[i].field" into the objects of list. An empty number
   is stored only if the field is present already. */
static void
apply_rows(json_t *list, const char *name, const char *const *fields,
           GHashTable *form)
{
    const char *const *f;
    char key[96];
    size_t i;
    json_t *o;

    json_array_foreach(list, i, o)
    {
        for (f = fields; *f; f++) {
            const char *t;
            g_snprintf(key, sizeof key, "%s[%zu].%s", name, i, *f);
            t = form_value(form, key);
            if (t && strcmp(*f, "class") == 0) {
                json_object_set_new(o, *f, json_string(t));
            }
            else if (t && strcmp(*f, "idempotent") == 0) {
                json_object_set_new(o, *f,
                                    json_boolean(strcmp(t, "yes") == 0));
            }
            else if (t && (*t || json_object_get(o, *f))) {
                json_object_set_new(o, *f, parse_input(t, 0));
            }
        }
    }
}

static const char *const route_row[] = {"class", "idempotent", "deadline_ms",
                                        NULL};
static const char *const service_row[] = {"slots", "connections", "queue",
                                          NULL};

static void
apply_form(json_t *doc, GHashTable *form)
{
    size_t i;

    for (i = 0; i < G_N_ELEMENTS(top_fields); i++) {
        const char *t = form_value(form, top_fields[i].path);
        if (t) {
            set_field(doc, &top_fields[i], t);
        }
    }
    apply_rows(json_object_get(doc, "routes"), "routes", route_row, form);
    apply_rows(json_object_get(doc, "services"), "services", service_row,
               form);
}

static void
put_choice(GString *s, const char *name, const char *const *options,
           const char *selected)
{
    g_string_append_printf(s, "<select name=\"%s\" aria-label=\"%s\">", name,
                           name);
    for (; *options; options++) {
        g_string_append_printf(s, "<option%s>",
                               strcmp(*options, selected) == 0 ? " selected"
                                                               : "");
        append_escaped(s, *options);
        g_string_append(s, "</option>");
    }
    g_string_append(s, "</select>");
}

static void
put_cell(GString *s, const char *name, const json_t *v, const SpProblems *ps)
{
    char *t = scalar_text(v);

    g_string_append_printf(
        s, "<input name=\"%s\" aria-label=\"%s\" size=\"7\" value=\"", name,
        name);
    append_escaped(s, t);
    g_string_append(s, "\">");
    put_problem(s, ps, name);
    g_free(t);
}

static void
put_routes(GString *s, json_t *doc, const SpProblems *ps)
{
    static const char *const yes_no[] = {"yes", "no", NULL};
    const char *classes[SP_MAX_CLASSES + 1] = {NULL};
    json_t *list = json_object_get(doc, "classes"), *o;
    char name[64];
    size_t i;

    for (i = 0; i < json_array_size(list) && i < SP_MAX_CLASSES; i++) {
        classes[i] = json_string_value(json_array_get(list, i));
    }
    g_string_append(s, "<fieldset><legend>Routes: priority class, "
                       "idempotency and deadline</legend><div class=\"wide\">"
                       "<table><tr><th>Route<th>Class<th>Idempotent"
                       "<th>Deadline, ms</tr>");
    json_array_foreach(json_object_get(doc, "routes"), i, o)
    {
        char *t = scalar_text(json_object_get(o, "class"));
        g_string_append(s, "<tr><td>");
        append_escaped(s, json_string_value(json_object_get(o, "name")));
        g_string_append(s, "<td>");
        g_snprintf(name, sizeof name, "routes[%zu].class", i);
        put_choice(s, name, classes, t);
        put_problem(s, ps, name);
        g_string_append(s, "<td>");
        g_snprintf(name, sizeof name, "routes[%zu].idempotent", i);
        put_choice(s, name, yes_no,
                   json_is_true(json_object_get(o, "idempotent")) ? "yes"
                                                                  : "no");
        put_problem(s, ps, name);
        g_string_append(s, "<td>");
        g_snprintf(name, sizeof name, "routes[%zu].deadline_ms", i);
        put_cell(s, name, json_object_get(o, "deadline_ms"), ps);
        g_string_append(s, "</tr>");
        g_free(t);
    }
    g_string_append(s, "</table></div></fieldset>");
}

static void
put_services(GString *s, json_t *doc, const SpProblems *ps)
{
    const char *const *f;
    char name[64];
    size_t i;
    json_t *o;

    g_string_append(s, "<fieldset><legend>Limits of each instance</legend>"
                       "<div class=\"wide\"><table><tr><th>Service<th>Slots"
                       "<th>Connections<th>Queue</tr>");
    json_array_foreach(json_object_get(doc, "services"), i, o)
    {
        g_string_append(s, "<tr><td>");
        append_escaped(s, json_string_value(json_object_get(o, "name")));
        for (f = service_row; *f; f++) {
            g_string_append(s, "<td>");
            g_snprintf(name, sizeof name, "services[%zu].%s", i, *f);
            put_cell(s, name, json_object_get(o, *f), ps);
        }
        g_string_append(s, "</tr>");
    }
    g_string_append(s, "</table></div></fieldset>");
}

static void
put_form(GString *s, const Request *q, json_t *doc, int replaces,
         const char *reason, const SpProblems *ps)
{
    char *token = form_token(q);
    size_t i;

    g_string_append_printf(
        s,
        "<form method=\"post\" action=\"/console/edit\">"
        "<input type=\"hidden\" name=\"form\" value=\"%s\">"
        "<input type=\"hidden\" name=\"replaces\" value=\"%d\">",
        token, replaces);
    g_free(token);
    put_routes(s, doc, ps);
    g_string_append(s, "<fieldset><legend>Retries and other limits</legend>");
    for (i = 0; i < G_N_ELEMENTS(top_fields); i++) {
        char *t = scalar_text(lookup(doc, top_fields[i].path));
        put_input(s, top_fields[i].path, top_fields[i].label, t, ps);
        g_free(t);
    }
    g_string_append(s, "</fieldset>");
    put_services(s, doc, ps);
    put_input(s, "reason", "Reason, kept in the history", reason, ps);
    g_string_append(s, "<br><button name=\"action\" value=\"check\">Check"
                       "</button><button name=\"action\" value=\"publish\">"
                       "Check and publish</button></form>");
}

static void
put_problems(GString *s, const SpProblems *ps)
{
    guint i;

    g_string_append_printf(s,
                           "<h2 class=\"bad\">Nothing was published: %u "
                           "to mend</h2><ul>",
                           SpProblems_Count(ps));
    for (i = 0; i < SpProblems_Count(ps); i++) {
        const SpProblem *p = SpProblems_At(ps, i);
        g_string_append(s, "<li><b>");
        append_escaped(s, p->place);
        g_string_append(s, "</b>: ");
        append_escaped(s, p->text);
    }
    g_string_append(s, "</ul>");
}

static char *
format_json(json_t *j)
{
    char *t = json_dumps(j, JSON_INDENT(1)), *copy = g_strdup(t ? t : "");

    free(t);
    return copy;
}

static char *
format_json_text(const char *doc)
{
    json_t *j = json_loads(doc, 0, NULL);
    char *t = format_json(j);

    json_decref(j);
    return t;
}

const SpVersion *
current_version(const Request *q)
{
    return SpVersions_Current(SpCore_Versions(q->n->core));
}

static void
put_difference(GString *s, const SpVersion *v, json_t *doc)
{
    char *old = format_json_text(v->text), *new = format_json(doc);

    g_string_append_printf(
        s, "<h2>Difference from version %d, which is in force</h2>",
        v->number);
    append_diff(s, old, new);
    g_free(old);
    g_free(new);
}

void
get_edit(Request *q)
{
    const SpVersion *v = current_version(q);
    GString *s = g_string_new(NULL);
    json_t *doc;

    begin_page(s, "Edit the configuration", q->n);
    if (!v) {
        g_string_append(s, "<p>No configuration is known here yet. Publish "
                           "the first with <code>spctl publish</code>.</p>");
        send_page(q->web, 200, s);
        return;
    }
    doc = json_loads(v->text, 0, NULL);
    g_string_append_printf(s, "<p>Version %d is in force, by ", v->number);
    append_escaped(s, v->by);
    g_string_append(s, ": ");
    append_escaped(s, v->reason);
    g_string_append(s, "</p>");
    put_form(s, q, doc, v->number, "", NULL);
    json_decref(doc);
    send_page(q->web, 200, s);
}

/* Sends the page with the result of a check or a publish: the problems in ps,
   or heading if there are none. */
static void
send_edit_result(Request *q, json_t *doc, const char *reason, SpProblems *ps,
                 const char *heading, int status)
{
    const SpVersion *v = current_version(q);
    GString *s = g_string_new(NULL);

    begin_page(s, "Edit the configuration", q->n);
    if (SpProblems_Count(ps)) {
        put_problems(s, ps);
    }
    else {
        g_string_append(s, "<h2>");
        append_escaped(s, heading);
        g_string_append(s, "</h2>");
    }
    put_difference(s, v, doc);
    put_form(s, q, doc, v->number, reason, ps);
    send_page(q->web, status, s);
}

typedef struct Edit {
    Request q;
    json_t *doc;
    char *reason;
} Edit;

static void
on_published(void *ctx, SpPublishState st)
{
    static const char *const texts[] = {
        "Result not known yet: the record has not been read back from the "
        "log. Check the status before you publish again",
        "Published and in force",
        "Another publish was first. The difference below is from its "
        "version; your input is kept",
        "Rejected: the nodes found the document invalid"};
    static const int statuses[] = {504, 200, 409, 422};
    Edit *e = ctx;
    SpProblems *ps = SpProblems_New();

    send_edit_result(&e->q, e->doc, e->reason, ps, texts[st], statuses[st]);
    SpProblems_Free(ps);
    json_decref(e->doc);
    g_free(e->reason);
    g_free(e);
}

static void
publish_edit(Request *q, json_t *doc, int replaces, const char *reason)
{
    Edit *e = g_new0(Edit, 1);
    char *t = format_json(doc);

    e->q = *q;
    e->doc = json_incref(doc);
    e->reason = g_strdup(reason);
    wait_published(q,
                   SpCore_Publish(q->n->core, SpClock_Now(), replaces,
                                  q->holder->name, reason, t),
                   on_published, e);
    g_free(t);
}

void
post_edit(Request *q)
{
    size_t n;
    const char *body = SpWebReq_Body(q->web, &n);
    GHashTable *form = parse_form(body, n);
    const char *token = form_value(form, "form");
    const char *reason = form_value(form, "reason");
    const char *action = form_value(form, "action");
    const char *replaces = form_value(form, "replaces");
    char *expected = form_token(q), *t;
    const SpVersion *v = current_version(q);
    SpProblems *ps = SpProblems_New();
    int64_t number = 0;
    json_t *doc = v ? json_loads(v->text, 0, NULL) : NULL;

    if (!token || !SpEqual_ConstTime(expected, token) || !doc) {
        refuse_admin(q, 403, "the form's token is missing or wrong");
    }
    else {
        apply_form(doc, form);
        t = format_json(doc);
        g_free(SpDoc_Parse(t, strlen(t), ps));
        g_free(t);
        if (!reason || !*reason) {
            SpProblems_Add(ps, "reason",
                           "missing; give the reason for the change");
        }
        if (!replaces ||
            !SpParse_Int(replaces, strlen(replaces), 0, INT32_MAX, &number)) {
            SpProblems_Add(ps, "replaces", "must be a version number");
        }
        if (SpProblems_Count(ps) || !action ||
            strcmp(action, "publish") != 0) {
            send_edit_result(q, doc, reason ? reason : "", ps,
                             "The document is valid", 200);
        }
        else {
            publish_edit(q, doc, (int)number, reason);
        }
    }
    json_decref(doc);
    SpProblems_Free(ps);
    g_hash_table_destroy(form);
    g_free(expected);
}
