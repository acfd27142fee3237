# Single, simultaneous and repeated failures during non-idempotent calls, which
# must run at most once.
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
node d web z2 4
work /sell 50
wait 5000
publish a 0 one
wait 5000
say the home node is killed during the run: outcome unknown, never run again
key k1 a sell
wait 100
call s1 a POST /sell key=k1
wait 20
kill b
wait 1200
call s1 d POST /sell key=k1
wait 200
start b
wait 4000
call s1 a POST /sell key=k1
wait 200
runs s1 /sell
say the home node is paused past the deadline, then resumed: expired calls do not run
key k2 a sell
wait 100
pause b
pause c
call s2 a POST /sell key=k2
wait 1500
resume b
resume c
wait 2000
runs s2 /sell
outcome a k2
wait 100
say log outage and zone partition during the call
key k3 a sell
wait 100
log down
call s3 a POST /sell key=k3
wait 10
cut z1 z2
wait 1500
call s3 a POST /sell key=k3
wait 300
heal z1 z2
wait 8000
call s3 d POST /sell key=k3
wait 300
runs s3 /sell
say the same failures again
cut z1 z2
key k4 a sell
wait 100
call s4 a POST /sell key=k4
wait 300
call s4 d POST /sell key=k4
wait 1300
heal z1 z2
wait 8000
call s4 d POST /sell key=k4
wait 300
runs s4 /sell
log up
say the answer is lost twice in a row
key k5 d sell
wait 100
drop reply b a
drop reply c a
call s5 a POST /sell key=k5
wait 300
drop reply b d
drop reply c d
call s5 d POST /sell key=k5
wait 300
runs s5 /sell
