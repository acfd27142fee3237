/* The console's status page. */
#include "node/admin.h"

/* Draws share, from 0 to 1, as a bar. */
static void
put_bar(GString *s, double share, int is_warning)
{
    g_string_append_printf(
        s,
        "<svg width=\"104\" height=\"12\" role=\"img\" aria-label=\"%.0f "
        "percent\"><rect x=\"0\" y=\"0\" width=\"102\" height=\"12\" "
        "fill=\"#e4e4e4\"/><rect x=\"1\" y=\"1\" width=\"%.0f\" "
        "height=\"10\" fill=\"%s\"/></svg>",
        100 * share, 100 * CLAMP(share, 0, 1),
        is_warning ? "#a04020" : "#2060a0");
}

static void
put_members(GString *s, const Request *q)
{
    const SpMembers *ms = SpCore_Members(q->n->core);
    guint i;

    g_string_append(s, "<h2>Members</h2><div class=\"wide\"><table><tr>"
                       "<th>Service<th>Instance<th>Zone<th>State</tr>");
    for (i = 0; i < SpMembers_Count(ms); i++) {
        const SpMember *m = SpMembers_At(ms, i);
        g_string_append(s, "<tr><td>");
        append_escaped(s, m->service);
        g_string_append(s, "<td>");
        append_escaped(s, m->name);
        g_string_append(s, "<td>");
        append_escaped(s, m->zone);
        g_string_append(s, "<td>");
        append_escaped(s, SpMemberState_Name(m->state));
        g_string_append(s, "</tr>");
    }
    g_string_append(s, "</table></div>");
}

static void
put_levels(GString *s, const Request *q)
{
    const SpDoc *d = SpCore_Doc(q->n->core);
    int i, top;

    if (!d) {
        return;
    }
    top = d->nclasses * SP_SLICES;
    g_string_append(s, "<h2>Admission at this node</h2><div class=\"wide\">"
                       "<table><tr><th>Route<th>Class<th>Level<th></tr>");
    for (i = 0; i < d->nroutes; i++) {
        int l = SpCore_RouteLevel(q->n->core, d->routes[i].name);
        g_string_append(s, "<tr><td>");
        append_escaped(s, d->routes[i].name);
        g_string_append(s, "<td>");
        append_escaped(s, d->routes[i].class_name);
        g_string_append_printf(s, "<td>%d of %d<td>", l, top);
        put_bar(s, (double)l / top, l < top);
        g_string_append(s, "</tr>");
    }
    g_string_append(s, "</table></div>");
}

static void
put_answers(GString *s, const Request *q)
{
    const SpCounters *k = SpCore_Counters(q->n->core);
    int i;

    g_string_append(s, "<h2>Answers by kind</h2><div class=\"wide\"><table>"
                       "<tr><th>Kind<th>Count<th>Meaning</tr>");
    for (i = 0; i < SP_NKINDS; i++) {
        const SpKindInfo *info = SpKind_Info((SpKind)i);
        if (k->ended[i]) {
            g_string_append_printf(s, "<tr><td>%s<td>%" PRIu64 "<td>%s</tr>",
                                   info->name, k->ended[i], info->text);
        }
    }
    g_string_append(s, "</table></div>");
}

void
get_console(Request *q)
{
    const SpGate *g = SpCore_Gate(q->n->core);
    const SpVersion *v = current_version(q);
    GString *s = g_string_new(NULL);

    begin_page(s, "Status", q->n);
    if (v) {
        g_string_append_printf(s, "<p>Version <b>%d</b> is in force, by ",
                               v->number);
        append_escaped(s, v->by);
        g_string_append(s, ": ");
        append_escaped(s, v->reason);
        g_string_append(s, "</p>");
    }
    else {
        g_string_append(s, "<p class=\"bad\">No configuration is known: "
                           "only safe calls are served.</p>");
    }
    g_string_append_printf(s, "<p>Gate: %d running of %.0f, %d queued. Load ",
                           SpGate_Running(g), SpGate_Limit(g),
                           SpGate_Queued(g));
    put_bar(s, SpGate_Load(g) / 100.0, SpGate_Load(g) >= 100);
    g_string_append(s, "</p>");
    put_levels(s, q);
    put_answers(s, q);
    put_members(s, q);
    send_page(q->web, 200, s);
}
