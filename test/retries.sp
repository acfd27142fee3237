# A chain of six services, the last of which fails every call. The retries of
# one request stay within its limit of 2 over the whole chain, and all retries
# of the node next to the failure within a tenth of its first attempts.
doc chain
{"format": 1, "name": "chain", "classes": ["critical", "browse"],
 "retries": {"per_request": 2, "ratio": 0.1},
 "services": [{"name": "a", "slots": 9, "connections": 9},
              {"name": "b", "slots": 9, "connections": 9},
              {"name": "c", "slots": 9, "connections": 9},
              {"name": "d", "slots": 9, "connections": 9},
              {"name": "e", "slots": 9, "connections": 9},
              {"name": "f", "slots": 9, "connections": 9}],
 "routes": [{"name": "a", "service": "a", "method": "GET",
             "path": "/a", "class": "browse", "idempotent": true,
             "deadline_ms": 2000},
            {"name": "b", "service": "b", "method": "GET",
             "path": "/b", "class": "browse", "idempotent": true,
             "deadline_ms": 2000},
            {"name": "c", "service": "c", "method": "GET",
             "path": "/c", "class": "browse", "idempotent": true,
             "deadline_ms": 2000},
            {"name": "d", "service": "d", "method": "GET",
             "path": "/d", "class": "browse", "idempotent": true,
             "deadline_ms": 2000},
            {"name": "e", "service": "e", "method": "GET",
             "path": "/e", "class": "browse", "idempotent": true,
             "deadline_ms": 2000},
            {"name": "f", "service": "f", "method": "GET",
             "path": "/f", "class": "browse", "idempotent": true,
             "deadline_ms": 2000}]}
end
node a a z1 9
node b b z1 9
node c c z1 9
node d d z1 9
node e e z1 9
node f f z1 9
node g f z1 9
work /a 1
work /b 1
work /c 1
work /d 1
work /e 1
work /f 1
child /a GET /b
child /b GET /c
child /c GET /d
child /d GET /e
child /e GET /f
wait 6000
publish a 0 chain
wait 6000
say no failure
call ok a GET /a
wait 100
runs ok /f
say the last service fails
fail /f on
call q1 a GET /a
wait 30
call q2 a GET /a
wait 30
call q3 a GET /a
wait 30
call q4 a GET /a
wait 30
call q5 a GET /a
wait 30
call q6 a GET /a
wait 30
call q7 a GET /a
wait 30
call q8 a GET /a
wait 30
call q9 a GET /a
wait 30
call q10 a GET /a
wait 30
call q11 a GET /a
wait 30
call q12 a GET /a
wait 30
call q13 a GET /a
wait 30
call q14 a GET /a
wait 30
call q15 a GET /a
wait 30
call q16 a GET /a
wait 30
call q17 a GET /a
wait 30
call q18 a GET /a
wait 30
call q19 a GET /a
wait 30
call q20 a GET /a
wait 30
call q21 a GET /a
wait 30
call q22 a GET /a
wait 30
call q23 a GET /a
wait 30
call q24 a GET /a
wait 30
call q25 a GET /a
wait 30
call q26 a GET /a
wait 30
call q27 a GET /a
wait 30
call q28 a GET /a
wait 30
call q29 a GET /a
wait 30
call q30 a GET /a
wait 30
wait 500
runs q1 /f
runs q2 /f
count a retries
count b retries
count c retries
count d retries
count e retries
count e sends
say an answer is lost at the first hop while the last service fails
drop reply b a
call lost a GET /a
wait 500
runs lost /a
runs lost /f
fail /f off
wait 3000
call end a GET /a
wait 200
