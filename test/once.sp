# Non-idempotent calls, most of them while the log is down: replay of a stored
# answer, another body with the same key, a lost answer, a duplicated call, a
# deleted key.
doc one
{"format": 1, "name": "one", "classes": ["critical", "browse"],
 "retries": {"per_request": 2, "ratio": 0.1},
 "services": [{"name": "web", "slots": 4, "connections": 10},
              {"name": "sales", "slots": 4, "connections": 10}],
 "routes": [{"name": "page", "service": "web", "method": "GET",
             "path": "/page", "class": "browse", "idempotent": true,
             "deadline_ms": 1000},
            {"name": "sell", "service": "sales", "method": "POST",
             "path": "/sell", "class": "critical", "idempotent": false,
             "deadline_ms": 1000}]}
end
node w1 web z1 4
node s1 sales z1 4
node s2 sales z2 4
work /sell 20
wait 500
say no configuration yet
call p0 w1 GET /page
call n0 w1 POST /sell key=x
wait 100
publish w1 0 one
wait 6000
config
members w1
log down
say a call, its retry at another node, the same key with another body
call c0 w1 POST /sell
key k1 w1 sell
wait 100
call c1 w1 POST /sell key=k1
wait 200
call c1 s2 POST /sell key=k1
wait 200
call c1 w1 POST /sell key=k1 body=other
wait 200
runs c1 /sell
outcome w1 k1
wait 100
say the answer is lost: the node retries at the same home node
key k2 w1 sell
wait 100
drop reply s1 w1
drop reply s2 w1
call c2 w1 POST /sell key=k2
wait 300
runs c2 /sell
say the call is delivered twice
key k3 w1 sell
wait 100
drop double w1 s1
drop double w1 s2
call c3 w1 POST /sell key=k3
wait 300
runs c3 /sell
say a call with a deleted key never runs
key k4 w1 sell
wait 100
outcome s1 k4 DELETE
wait 100
call c4 w1 POST /sell key=k4
wait 300
runs c4 /sell
