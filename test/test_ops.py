"""The operators' commands, as processes."""

import asyncio
import json
import sys

from dragonflywing import typed
from dragonflywing.load.deployment import PEER_SECRET
from test.helper import connect, deployed, query, run

MAIN = "from dragonflywing.ui.ops import main; main()"


async def ops(*args):
    """Run dfw-ops; return (exit code, standard output, standard error)."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        MAIN,
        *args,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


class TestOps:
    def test_questionnaire_to_status(self, tmp_path):
        run(self._check(tmp_path))

    async def _check(self, folder):
        async with deployed() as deployment:
            settings = folder / "ops.json"
            store = f"http://127.0.0.1:{deployment.store_port}"
            text = json.dumps({"store": [store], "peer_secret": PEER_SECRET})
            settings.write_text("// ops\n" + text)
            ask = ("--settings", str(settings))
            await self._status(ask)
            await self._generate(deployment, folder, ask)
            code, out, _ = await ops("keys", "give", "press", "second", *ask)
            assert code == 0
            key = out.split("key=")[1].split()[0]
            conn = await connect(deployment, "entry-2", password=key)
            assert await query(conn, "SELECT 1") == [(1,)]
            conn.close()
            code, out, _ = await ops("keys", "withdraw", "press", "second", *ask)
            assert code == 0 and "in force on every live instance" in out
            code, _, err = await ops("keys", "withdraw", "press", "second", *ask)
            assert code == 2 and "has no key 'second'" in err
            assert "Traceback" not in err

    async def _status(self, ask):
        code, out, _ = await ops("status", *ask)
        assert "group orders primary=orders-" in out
        assert "instances=3 of 3" in out
        assert code == 0, out

    async def _generate(self, deployment, folder, ask):
        answers = folder / "answers.json"
        answers.write_text(json.dumps(typed.to_plain(deployment.answers())))
        output = str(folder / "configuration.json")
        code, _, err = await ops("generate", str(answers), "--output", output)
        assert code == 0, err
        code, out, _ = await ops("apply", output, *ask)
        assert code == 0 and "in force on every live instance" in out
        code, _, err = await ops("generate", str(folder / "none.json"))
        assert code == 2 and "none.json" in err
        code, out, _ = await ops("questionnaire")
        assert code == 0 and "fleet_size" in out
