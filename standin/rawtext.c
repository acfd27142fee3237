#include "standin/rawtext.h"

#include <stdlib.h>

#define WORDS 4
#define HEX_DIGITS 2

static void
add_line(GArray *lines, const char *text)
{
    char **w = g_strsplit(text, " ", WORDS);
    RawLine l;

    if (text[0] == '#' || g_strv_length(w) < WORDS) {
        g_strfreev(w);
        return;
    }
    l = (RawLine){w[0], w[1], w[2], w[3]};
    g_array_append_val(lines, l);
    g_free(w);
}

GArray *
read_raw_lines(const char *file)
{
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(RawLine));
    char *text, **texts;
    int i;

    if (!g_file_get_contents(file, &text, NULL, NULL)) {
        g_array_free(lines, TRUE);
        return NULL;
    }
    texts = g_strsplit(text, "\n", -1);
    for (i = 0; texts[i]; i++) {
        add_line(lines, texts[i]);
    }
    g_strfreev(texts);
    g_free(text);
    return lines;
}

void
free_raw_lines(GArray *lines)
{
    guint i;

    for (i = 0; i < lines->len; i++) {
        const RawLine *l = &g_array_index(lines, RawLine, i);
        g_free(l->name);
        g_free(l->end);
        g_free(l->result);
        g_free(l->bytes);
    }
    g_array_free(lines, TRUE);
}

/* Appends what the escape at p stands for; returns its last character. */
static const char *
append_escape(GString *s, const char *p, const char *names)
{
    char digits[HEX_DIGITS + 1] = "";

    switch (*p) {
    case 'n':
        g_string_append(s, "\r\n");
        break;
    case 'l':
        g_string_append_c(s, '\n');
        break;
    case 'r':
        g_string_append_c(s, '\r');
        break;
    case 't':
        g_string_append_c(s, '\t');
        break;
    case 's':
        g_string_append_c(s, ' ');
        break;
    case 'e':
        break;
    case 'i':
        g_string_append(s, names);
        break;
    case 'x':
        g_strlcpy(digits, p + 1, sizeof digits);
        g_string_append_c(s, (char)strtol(digits, NULL, 16));
        return p + HEX_DIGITS;
    default:
        g_string_append_c(s, *p);
        break;
    }
    return p;
}

GString *
expand_raw(const char *bytes, const char *names)
{
    GString *s = g_string_new(NULL);
    const char *p;

    for (p = bytes; *p; p++) {
        if (*p == '\\' && p[1]) {
            p = append_escape(s, p + 1, names);
        }
        else {
            g_string_append_c(s, *p);
        }
    }
    return s;
}
