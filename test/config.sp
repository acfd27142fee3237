# Configuration versions under concurrent publishes, lost answers, log outages,
# zone partitions, a trimmed log and restarts. The version at a node never
# decreases, and all nodes reach the same one.
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
say two operators publish at once: one wins, all nodes have its version
publish b 1 two
publish c 1 three
wait 4000
config
published a two
published a three
say an invalid document takes effect at no node
publish a 2 broken
wait 3000
published b broken
config
say the append succeeds, its answer is lost: the node reads the log to find out
log lose
publish a 2 three again
wait 4000
published a again
config
log up
say the log is down: no publish is accepted, nothing changes
log down
publish a 3 four late
wait 5000
published a late
config
log up
say a node without access to the log gets the version from its peers
nolog c on
publish a 3 four
wait 8000
config
say a zone is partitioned off, then reconnected
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
say restarted nodes load the same version, also from a trimmed log
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
