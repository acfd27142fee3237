# valve.sh: layout, routes and load mix of the Valve Configurator Mesh of Brazos,
# in the size that was specified for it.

valve_layout() {
    local i s
    for i in 1 2 3 4; do
        node "catalog-$i" catalog "gulf-$(((i - 1) % 3 + 1))" 120
    done
    for s in orders quoting; do
        for i in 1 2 3; do node "$s-$i" "$s" "gulf-$i" 160; done
    done
    for i in 1 2 3; do node "configurator-$i" configurator "gulf-$i" 25; done
}

# valve_routes CONFIGURATOR_MS: the work and further calls of the instances by
# path; CONFIGURATOR_MS is the run time at the configurator service
valve_routes() {
    cat <<END
[{"method": "GET", "path": "/catalog/lookup", "work_ms": 4, "bytes": 2000,
  "calls": [{"method": "GET", "path": "/quoting/quote"}]},
 {"method": "GET", "path": "/quoting/quote", "work_ms": 3, "bytes": 500,
  "calls": [{"method": "GET", "path": "/configurator/spec"}]},
 {"method": "GET", "path": "/configurator/spec", "work_ms": $1, "dist": "lognormal",
  "bytes": 500},
 {"method": "POST", "path": "/quoting/save", "work_ms": 5, "bytes": 100,
  "once": true},
 {"method": "POST", "path": "/orders/place", "work_ms": 5, "bytes": 100,
  "once": true, "calls": [{"method": "POST", "path": "/configurator/hold"}]},
 {"method": "POST", "path": "/configurator/hold", "work_ms": $1, "dist": "lognormal", "bytes": 50,
  "once": true}]
END
}

# valve_mix: the load mix of the callers, most important class first
valve_mix() {
    cat <<END
[{"name": "order", "class": "critical", "method": "POST",
  "path": "/orders/place", "route": "order", "weight": 10,
  "body_bytes": 300, "contacts": [$(service_contacts orders)]},
 {"name": "save-quote", "class": "engineer", "method": "POST",
  "path": "/quoting/save", "route": "save-quote", "weight": 10,
  "body_bytes": 300, "contacts": [$(service_contacts quoting)]},
 {"name": "quote", "class": "engineer", "method": "GET",
  "path": "/quoting/quote", "weight": 20,
  "contacts": [$(service_contacts quoting)]},
 {"name": "lookup", "class": "browse", "method": "GET",
  "path": "/catalog/lookup", "weight": 60,
  "contacts": [$(service_contacts catalog)]}]
END
}
