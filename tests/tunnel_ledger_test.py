"""Checks the output of tools/tunnel_ledger.py, its table and the events of one client, on the logs of two nodes."""
import pathlib
import subprocess
import sys
import tempfile

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "tunnel_ledger.py"
FIRST_LOG = """0.100 endpoint h1 at 127.0.0.1:1 added as number 11
0.500 debug tunnel 0: free -> reading request
0.500 debug tunnel 0 accepted: OPEN id1 key1 c=x,d=100,g=g1
0.510 debug tunnel 0 attempt 1 at endpoint 11
0.520 debug tunnel 0 attempt 1 failed, outcome 2
0.530 debug tunnel 0 attempt 2 at endpoint 12
0.540 debug tunnel 0: awaiting answer -> open
1.000 debug endpoint h2, number 12, listed as terminating, up since 0
1.900 debug tunnel 0 at endpoint 12 ended, outcome 5, unanswered lines 0
1.910 debug tunnel 0: open -> free
"""
SECOND_LOG = """2.100 debug tunnel 7 accepted: OPEN id2 key1 c=x,d=100,again=1,g=g1
2.110 debug tunnel 7 attempt 1 at endpoint 11
2.120 debug tunnel 7: awaiting answer -> open
2.200 debug tunnel 8 accepted: OPEN id3 key2 c=x,d=100,g=g1,mid=1
2.210 debug tunnel 8 attempt 1 at endpoint 11
2.220 debug tunnel 8: awaiting answer -> open
2.300 debug tunnel 9 accepted: OPEN id4 key3 c=x,d=100,g=g2
2.310 debug tunnel 9: awaiting placement -> closing
no time at all
"""
TABLE = """   0.0 s  accepted new 1, attempt overloaded new 1, attempt sent new 2, ended: connection lost new 1, opened new 1
          draining hosts 1, held 0, copies 0
   2.0 s  accepted again 1, accepted mid 1, accepted new 1, attempt sent again 1, attempt sent mid 1, \
not opened new 1, opened again 1, opened mid 1
          draining hosts 1, held 0, copies 0
          old hosts 1, held 2, copies 1
"""
EVENTS = """   0.500 n1     id1 new   accepted
   0.510 n1     id1 new   attempt sent           endpoint 11 (old)
   0.520 n1     id1 new   attempt overloaded     endpoint 11 (old)
   0.530 n1     id1 new   attempt sent           endpoint 12 (old)
   0.540 n1     id1 new   opened                 endpoint 12 (old)
   1.900 n1     id1 new   ended: connection lost endpoint 12 (draining)
   2.100 n2     id2 again accepted
   2.110 n2     id2 again attempt sent           endpoint 11 (old)
   2.120 n2     id2 again opened                 endpoint 11 (old)
"""


def output_of(*arguments):
    out = subprocess.run([sys.executable, str(TOOL), *arguments], check=True, capture_output=True, text=True).stdout
    return "\n".join(line.rstrip() for line in out.splitlines()) + "\n"


with tempfile.TemporaryDirectory() as folder:
    pathlib.Path(folder, "n1.log").write_text(FIRST_LOG)
    pathlib.Path(folder, "n2.log").write_text(SECOND_LOG)
    for actual, expected in ((output_of(folder), TABLE), (output_of(folder, "--follow", "key1"), EVENTS)):
        if actual != expected:
            sys.exit(f"expected\n{expected}\ngot\n{actual}")
print("tunnel_ledger.py: table and events as expected")
