/*
 * Syntax of HTTP/1.1 that http_parser leaves out as Debian builds it: it
 * takes a blank for a part of a field name and any byte for the LF after a CR,
 * and it does not look at the reason phrase, at chunk extensions or at the
 * number of digits of a status. Rules are those of RFC 9112 and RFC 9110.
 */
#include <string.h>

#include "http/priv.h"

/* Status line up to the reason phrase; # is a digit. */
static const char status_form[] = "HTTP/1.# ###";
#define STATUS_FORM_LEN (sizeof status_form - 1)
#define STATUS_AT (STATUS_FORM_LEN - 3)

int
SpSyntax_IsToken(const char *p, size_t n)
{
    size_t i;

    for (i = 0; i < n; i++) {
        if (!p[i] ||
            (!g_ascii_isalnum(p[i]) && !strchr("!#$%&'*+-.^_`|~", p[i]))) {
            return 0;
        }
    }
    return 1;
}

static int
is_text_byte(char c)
{
    return c == '\t' || !g_ascii_iscntrl(c);
}

int
SpSyntax_IsText(const char *p, size_t n)
{
    size_t i;

    for (i = 0; i < n; i++) {
        if (!is_text_byte(p[i])) {
            return 0;
        }
    }
    return 1;
}

static int
is_status_byte(const SpLine *l, char c)
{
    if (l->len == STATUS_AT) {
        return c >= '1' && c <= '5';
    }
    if (l->len < STATUS_FORM_LEN) {
        return status_form[l->len] == '#' ? g_ascii_isdigit(c)
                                          : c == status_form[l->len];
    }
    if (l->len == STATUS_FORM_LEN && c != ' ') {
        return c == '\r' || c == '\n';
    }
    return is_text_byte(c) || c == '\r' || c == '\n';
}

/* The size of a chunk, which http_parser reads, may be followed by blanks and
   then by extensions. */
static int
is_chunk_byte(SpLine *l, char c)
{
    if (c == '\n') {
        return l->last == '\r';
    }
    if (c == '\r' || l->in_extension) {
        return c == '\r' || is_text_byte(c);
    }
    if (c == ';') {
        l->in_extension = 1;
        return l->len > 0;
    }
    return c == ' ' || (g_ascii_isxdigit(c) && l->last != ' ');
}

size_t
SpLine_Check(SpLine *l, SpLineKind kind, const char *p, size_t n)
{
    size_t i;

    for (i = 0; i < n && !l->ended && !l->invalid; i++) {
        char c = p[i];
        l->invalid = (l->last == '\r' && c != '\n') ||
                     !(kind == SP_LINE_STATUS ? is_status_byte(l, c)
                                              : is_chunk_byte(l, c));
        l->ended = c == '\n';
        l->last = c;
        l->len++;
    }
    return i;
}
