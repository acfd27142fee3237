#include <arpa/inet.h>
#include <string.h>

#include "base/base.h"

static uint64_t
mix(uint64_t z)
{
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* FNV-1a, finished by the SplitMix64 mixer. */
uint64_t
SpHash(const void *p, size_t n, uint64_t seed)
{
    const unsigned char *s = p;
    uint64_t h = 0xcbf29ce484222325ULL ^ seed;
    size_t i;

    for (i = 0; i < n; i++) {
        h = (h ^ s[i]) * 0x100000001b3ULL;
    }
    return mix(h);
}

/* SplitMix64 (Steele, Lea, Flood 2014). */
uint64_t
SpRand(uint64_t *s)
{
    return mix(*s += 0x9e3779b97f4a7c15ULL);
}

double
SpRand_Unit(uint64_t *s)
{
    return (double)(SpRand(s) >> 11) * 0x1p-53;
}

int
SpParse_Int(const char *s, size_t n, int64_t lo, int64_t hi, int64_t *out)
{
    char buf[24];
    char *end;
    gint64 v;

    if (n == 0 || n >= sizeof buf) {
        return 0;
    }
    memcpy(buf, s, n);
    buf[n] = '\0';
    if (!g_ascii_isdigit(buf[0]) && !(buf[0] == '-' && n > 1)) {
        return 0;
    }
    v = g_ascii_strtoll(buf, &end, 10);
    if (*end || v < lo || v > hi) {
        return 0;
    }
    *out = v;
    return 1;
}

int
SpParse_Hex(const char *s, size_t n, uint64_t *out)
{
    uint64_t v = 0;
    size_t i;

    if (n == 0 || n > 16) {
        return 0;
    }
    for (i = 0; i < n; i++) {
        int d = g_ascii_xdigit_value(s[i]);
        if (d < 0) {
            return 0;
        }
        v = v << 4 | (uint64_t)d;
    }
    *out = v;
    return 1;
}

int
SpEqual_ConstTime(const char *a, const char *b)
{
    size_t i, la = strlen(a), lb = strlen(b);
    unsigned diff = la != lb;

    for (i = 0; i < la; i++) {
        diff |= (unsigned char)a[i] ^ (unsigned char)(lb ? b[i % lb] : 0);
    }
    return diff == 0;
}

int
SpParse_Addr(const char *s, char *ip, size_t n, int *port)
{
    unsigned char raw[16];
    const char *colon = strrchr(s, ':');
    int64_t v;
    char host[64];

    if (!colon || (size_t)(colon - s) >= sizeof host) {
        return 0;
    }
    memcpy(host, s, (size_t)(colon - s));
    host[colon - s] = '\0';
    if (inet_pton(AF_INET, host, raw) != 1) {
        return 0;
    }
    if (!SpParse_Int(colon + 1, strlen(colon + 1), 1, 65535, &v)) {
        return 0;
    }
    if (ip) {
        g_strlcpy(ip, host, n);
    }
    if (port) {
        *port = (int)v;
    }
    return 1;
}
