# resale.sh: layout, routes and load mix of the Resale Mesh of QSCEA, in the size
# that was specified for it.

resale_layout() {
    local i z
    for i in 1 2 3 4 5; do
        z=$(((i - 1) % 4 + 1))
        node "catalogue-$i" catalogue "qld-$z" 150
    done
    for s in sales refunds; do
        for i in 1 2 3 4; do node "$s-$i" "$s" "qld-$i" 180; done
    done
    for i in 1 2 3 4; do node "lots-$i" lots "qld-$i" 25; done
}

# resale_routes LOTS_MS: the work and further calls of the instances by path;
# LOTS_MS is the run time at the lots service
resale_routes() {
    cat <<END
[{"method": "GET", "path": "/catalogue/page", "work_ms": 4, "bytes": 2000,
  "calls": [{"method": "GET", "path": "/sales/price"}]},
 {"method": "GET", "path": "/sales/price", "work_ms": 3, "bytes": 200,
  "calls": [{"method": "GET", "path": "/refunds/terms"}]},
 {"method": "GET", "path": "/refunds/terms", "work_ms": 3, "bytes": 200,
  "calls": [{"method": "GET", "path": "/lots/detail"}]},
 {"method": "GET", "path": "/lots/detail", "work_ms": $1, "dist": "lognormal", "bytes": 500},
 {"method": "GET", "path": "/refunds/ledger", "work_ms": 5, "bytes": 1000},
 {"method": "POST", "path": "/sales/confirm", "work_ms": 5, "bytes": 100,
  "once": true, "calls": [{"method": "POST", "path": "/lots/reserve"}]},
 {"method": "POST", "path": "/lots/reserve", "work_ms": $1, "dist": "lognormal", "bytes": 50,
  "once": true},
 {"method": "POST", "path": "/refunds/issue", "work_ms": 5, "bytes": 100,
  "once": true, "calls": [{"method": "POST", "path": "/sales/reverse"}]},
 {"method": "POST", "path": "/sales/reverse", "work_ms": 5, "bytes": 50,
  "once": true, "calls": [{"method": "POST", "path": "/lots/reserve"}]}]
END
}

# resale_mix: the load mix of the callers, most important class first
resale_mix() {
    cat <<END
[{"name": "confirm", "class": "critical", "method": "POST",
  "path": "/sales/confirm", "route": "confirm", "weight": 8,
  "body_bytes": 300, "contacts": [$(service_contacts sales)]},
 {"name": "refund", "class": "critical", "method": "POST",
  "path": "/refunds/issue", "route": "refund", "weight": 2,
  "body_bytes": 300, "contacts": [$(service_contacts refunds)]},
 {"name": "ledger", "class": "staff", "method": "GET",
  "path": "/refunds/ledger", "weight": 10,
  "contacts": [$(service_contacts refunds)]},
 {"name": "page", "class": "browse", "method": "GET",
  "path": "/catalogue/page", "weight": 80,
  "contacts": [$(service_contacts catalogue)]}]
END
}
