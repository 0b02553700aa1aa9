"""The ledger of tunnels, on the logs of two nodes: what it counts, and whom it follows."""
import pathlib
import subprocess
import sys
import tempfile

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "tunnel_ledger.py"
FIRST = """0.100 endpoint h1 at 127.0.0.1:1 added as number 11
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
SECOND = """2.100 debug tunnel 7 accepted: OPEN id2 key1 c=x,d=100,again=1,g=g1
2.110 debug tunnel 7 attempt 1 at endpoint 11
2.120 debug tunnel 7: awaiting answer -> open
2.200 debug tunnel 8 accepted: OPEN id3 key2 c=x,d=100,g=g1,mid=1
2.210 debug tunnel 8 attempt 1 at endpoint 11
2.220 debug tunnel 8: awaiting answer -> open
2.300 debug tunnel 9 accepted: OPEN id4 key3 c=x,d=100,g=g2
2.310 debug tunnel 9: awaiting placement -> closing
no time at all
"""
TABLE = """   0.0 s  sent new 2, setup full new 1, taken new 1, then broken new 1, up new 1
          draining hosts 1, held 0, copies 0
   2.0 s  given up new 1, sent again 1, sent mid 1, taken again 1, taken mid 1, taken new 1, up again 1, up mid 1
          draining hosts 1, held 0, copies 0
          old hosts 1, held 2, copies 1
"""
STORY = """   0.500 n1     id1 new   taken
   0.510 n1     id1 new   sent               ep 11 (old)
   0.520 n1     id1 new   setup full         ep 11 (old)
   0.530 n1     id1 new   sent               ep 12 (old)
   0.540 n1     id1 new   up                 ep 12 (old)
   1.900 n1     id1 new   then broken        ep 12 (draining)
   2.100 n2     id2 again taken
   2.110 n2     id2 again sent               ep 11 (old)
   2.120 n2     id2 again up                 ep 11 (old)
"""


def said(*words):
    out = subprocess.run([sys.executable, str(TOOL), *words], check=True, capture_output=True, text=True).stdout
    return "\n".join(line.rstrip() for line in out.splitlines()) + "\n"


with tempfile.TemporaryDirectory() as folder:
    pathlib.Path(folder, "n1.log").write_text(FIRST)
    pathlib.Path(folder, "n2.log").write_text(SECOND)
    for got, wanted in ((said(folder), TABLE), (said(folder, "--follow", "key1"), STORY)):
        if got != wanted:
            sys.exit(f"wanted\n{wanted}\ngot\n{got}")
print("the ledger tells what the logs hold")
