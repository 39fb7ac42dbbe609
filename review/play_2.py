"""Plays the case of a folder: `python3 play_2.py FOLDER`. Exits with 1 only where the case has seen its rule broken.

Whatever else goes wrong, an error of a script itself too, ends with 2.
"""

import sys
import traceback
from pathlib import Path

if __name__ == "__main__":
    code = 2
    try:
        folder = Path(sys.argv[1]).resolve()
        sys.path[:0] = [str(folder), str(folder.parent)]
        import case
        import deployment_2

        code = deployment_2.main(case.case, folder, **case.MACHINES)
    except BaseException:
        traceback.print_exc()
    sys.exit(code)
