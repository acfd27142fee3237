# Configuration: races, lost answers, outages, cut zones, trimmed log,
# restarts. A version never goes back and is the same everywhere.
doc one
{"format": 1, "name": "one", "classes": ["critical", "browse"],
 "retries": {"per_request": 2, "ratio": 0.5},
 "services": [{"name": "web", "slots": 4, "connections": 10},
              {"name": "sales", "slots": 4, "connections": 10,
               "queue": 4}],
 "routes": [{"name": "page", "service": "web", "method": "GET",
             "path": "/page", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "price", "service": "sales", "method": "GET",
             "path": "/price", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "sell", "service": "sales", "method": "POST",
             "path": "/sell", "class": "critical", "idempotent": false,
             "deadline_ms": 1000}]}
end
doc two
{"format": 1, "name": "two", "classes": ["critical", "browse"],
 "retries": {"per_request": 2, "ratio": 0.5},
 "services": [{"name": "web", "slots": 4, "connections": 10},
              {"name": "sales", "slots": 4, "connections": 10,
               "queue": 4}],
 "routes": [{"name": "page", "service": "web", "method": "GET",
             "path": "/page", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "price", "service": "sales", "method": "GET",
             "path": "/price", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "sell", "service": "sales", "method": "POST",
             "path": "/sell", "class": "critical", "idempotent": false,
             "deadline_ms": 1000}]}
end
doc three
{"format": 1, "name": "three", "classes": ["critical", "browse"],
 "retries": {"per_request": 2, "ratio": 0.5},
 "services": [{"name": "web", "slots": 4, "connections": 10},
              {"name": "sales", "slots": 4, "connections": 10,
               "queue": 4}],
 "routes": [{"name": "page", "service": "web", "method": "GET",
             "path": "/page", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "price", "service": "sales", "method": "GET",
             "path": "/price", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "sell", "service": "sales", "method": "POST",
             "path": "/sell", "class": "critical", "idempotent": false,
             "deadline_ms": 1000}]}
end
doc four
{"format": 1, "name": "four", "classes": ["critical", "browse"],
 "retries": {"per_request": 2, "ratio": 0.5},
 "services": [{"name": "web", "slots": 4, "connections": 10},
              {"name": "sales", "slots": 4, "connections": 10,
               "queue": 4}],
 "routes": [{"name": "page", "service": "web", "method": "GET",
             "path": "/page", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "price", "service": "sales", "method": "GET",
             "path": "/price", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "sell", "service": "sales", "method": "POST",
             "path": "/sell", "class": "critical", "idempotent": false,
             "deadline_ms": 1000}]}
end
doc broken
{"format": 1, "name": "broken"}
end
node a web z1 4
node b sales z2 4
node c sales z3 4
wait 3000
publish a 0 one
wait 4000
config
say two operators race: one winner, everywhere the same
publish b 1 two
publish c 1 three
wait 4000
config
published a two
published a three
say a document that does not check is in force nowhere
publish a 2 broken
wait 3000
published b broken
config
say the append works, its answer is lost: reading settles it
log lose
publish a 2 three again
wait 4000
published a again
config
log up
say the log is down: nothing is accepted, nothing changes
log down
publish a 3 four late
wait 5000
published a late
config
log up
say a zone without the log gets it from its peers
nolog c on
publish a 3 four
wait 8000
config
say all alone, then healed
cut z1 z3
cut z2 z3
publish a 4 one five
wait 8000
config
heal z1 z3
heal z2 z3
wait 8000
config
nolog c off
say restarts, also on a trimmed log, take up the same version
kill b
start b
wait 6000
config
trim 0
kill c
start c
wait 6000
config
log down
kill a
start a
wait 6000
config
