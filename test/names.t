# Names of the platform's interface may occur only in platform/, the stand-ins
# and the tests.
names='Siskinpond-|Instances\.(Heartbeat|Deregister)|log-(append|read|newest|trim|join|leave|commit|owners)|keyed\.|path_prefix|traffic_split|max_attempts|warmup_left_s|app_addr|machine_class|budget_slack|internal_ports|sidecar'
grep -rnE "$names" base conf core flow http web call cmd node relay demo && echo found
echo checked
