/* Shared names, by the interned strings of GLib. */
#include "base/base.h"

const char *
SpName_New(const char *s)
{
    return g_ref_string_new_intern(s);
}

void
SpName_Free(const char *name)
{
    if (name) {
        g_ref_string_release((GRefString *)name);
    }
}

void
SpName_Set(const char **to, const char *s)
{
    const char *old = *to;

    *to = SpName_New(s); /* s may be the old one */
    SpName_Free(old);
}
