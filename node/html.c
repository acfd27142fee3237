/* HTML output of the console, and line-by-line differences. */
#include <string.h>

#include "node/admin.h"

#define MAX_LINES 4000

void
append_escaped(GString *s, const char *t)
{
    gchar *e = g_markup_escape_text(t ? t : "", -1);

    g_string_append(s, e);
    g_free(e);
}

void
begin_page(GString *s, const char *title, const Node *n)
{
    g_string_append(
        s, "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<meta name=\"viewport\" content=\"width=device-width\"><title>");
    append_escaped(s, title);
    g_string_append(
        s, "</title><style>body{font:16px/1.4 sans-serif;margin:0 auto;"
           "max-width:70em;padding:1em}table{border-collapse:collapse}"
           "td,th{padding:.2em .6em;text-align:left;border-bottom:1px solid "
           "#ccc}.wide{overflow-x:auto}label{display:block;margin-top:.6em}"
           "label input{display:block}"
           "input,select{font:inherit;max-width:100%}fieldset{margin:1em 0;"
           "border:1px solid #999}pre{background:#f4f4f4;padding:.5em;"
           "overflow-x:auto}.bad{color:#a00000}.add{color:#006000}"
           "button{font:inherit;padding:.3em 1em;margin:.8em .6em .8em 0}"
           "nav a{margin-right:1em}</style></head><body><nav>"
           "<a href=\"/console\">Status</a><a href=\"/console/edit\">Edit</a>"
           "</nav><h1>");
    append_escaped(s, title);
    g_string_append(s, "</h1><p>Seen from node <b>");
    append_escaped(s, n->set.name);
    g_string_append(s, "</b>, zone <b>");
    append_escaped(s, n->set.zone);
    g_string_append(s, "</b>.</p>");
}

void
send_page(SpWebReq *web, int status, GString *s)
{
    static const SpHeader hs[] = {
        {"content-type", "text/html; charset=utf-8"},
        {"cache-control", "no-store"},
        {"content-security-policy",
         "default-src 'none'; style-src 'unsafe-inline'; "
         "form-action 'self'; frame-ancestors 'none'; base-uri 'none'"},
        {"x-content-type-options", "nosniff"},
        {"x-frame-options", "DENY"},
        {"referrer-policy", "no-referrer"}};

    g_string_append(s, "</body></html>\n");
    SpWebReq_Respond(web, status, hs, G_N_ELEMENTS(hs), s->str, s->len);
    g_string_free(s, TRUE);
}

/*
 * Line-by-line differences, by longest common subsequence.
 */

static void
diff_line(GString *s, const char *class, char sign, const char *line)
{
    g_string_append_printf(s, "<span class=\"%s\">%c ", class, sign);
    append_escaped(s, line);
    g_string_append(s, "</span>\n");
}

void
append_diff(GString *s, const char *old, const char *new)
{
    char **a = g_strsplit(old, "\n", MAX_LINES);
    char **b = g_strsplit(new, "\n", MAX_LINES);
    size_t n = g_strv_length(a), m = g_strv_length(b), i, k;
    guint16 *t = g_new0(guint16, (n + 1) * (m + 1));
    int changes = 0;

#define AT(x, y) t[(x) * (m + 1) + (y)]
    for (i = n; i-- > 0;) {
        for (k = m; k-- > 0;) {
            AT(i, k) = strcmp(a[i], b[k]) == 0
                           ? AT(i + 1, k + 1) + 1
                           : MAX(AT(i + 1, k), AT(i, k + 1));
        }
    }
    g_string_append(s, "<pre>");
    for (i = k = 0; i < n || k < m;) {
        if (i < n && k < m && strcmp(a[i], b[k]) == 0) {
            i++;
            k++;
            continue;
        }
        changes++;
        if (k >= m || (i < n && AT(i + 1, k) >= AT(i, k + 1))) {
            diff_line(s, "bad", '-', a[i++]);
        }
        else {
            diff_line(s, "add", '+', b[k++]);
        }
    }
#undef AT
    g_string_append(s, changes ? "</pre>" : "no difference</pre>");
    g_free(t);
    g_strfreev(a);
    g_strfreev(b);
}
