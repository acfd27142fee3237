/*
 * rawtext: files of answers that are sent as they are written, for tests of
 * what a client takes for an answer. A line has four words:
 *
 *   NAME END RESULT BYTES
 *
 * END is what follows the bytes: keep (the connection stays open), close (the
 * sending side is closed, and what the peer sends is read), leave (it is
 * closed, and what the peer sends is not read, which resets the connection
 * after its end) or reset. RESULT is what a client has to take it for. BYTES
 * go to the end of the line; in them \n is CR LF, \l is LF, \r is CR, \t is a
 * tab, \s is a blank, \xNN is a byte, \\ is a backslash, \e is nothing and \i
 * stands for the lines that name the request. Empty lines and lines that begin
 * with # are comments.
 */
#ifndef SP_STANDIN_RAWTEXT_H
#define SP_STANDIN_RAWTEXT_H

#include <glib.h>

typedef struct RawLine {
    char *name, *end, *result, *bytes;
} RawLine;

/* read_raw_lines returns the lines of a file, of RawLine; NULL if it cannot be
   read. */
GArray *read_raw_lines(const char *file);
void free_raw_lines(GArray *lines);
/* expand_raw returns the bytes of a line; names stands for \i. */
GString *expand_raw(const char *bytes, const char *names);

#endif
