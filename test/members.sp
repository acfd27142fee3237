# Membership: kill, restart, pause, zone partitions, a leaving instance, a
# silent instance.
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
node a web z1 4
node b sales z1 4
node c sales z2 4
node d sales z3 4
wait 5000
publish a 0 one
wait 4000
members a
say a node is killed
kill b
wait 10000
members a
members d
say restarted: known again within seconds, the old entry is gone
start b
wait 3000
members a
say a node is paused for longer than any lease, then resumed
pause c
wait 15000
members a
resume c
wait 4000
members a
members c
say zones are partitioned, then reconnected
cut z1 z2
cut z1 z3
wait 15000
members a
members c
call p1 a GET /price
wait 1000
heal z1 z2
heal z1 z3
wait 10000
members a
members c
say an instance leaves: known at once, it gets no new calls
leave d
wait 3000
members a
members b
wait 1500
call p2 d GET /price
wait 300
idle d
say an instance that stops reporting gets no calls
instance c silent
wait 6000
members a
instance c up
wait 3000
members a
