"""A key moves from one tenant to another while its client is inside a transaction."""

import asyncio
import os
from pathlib import Path

from scene import BROKEN, HELD, Client, Record, run_case, run_deployment

TROUBLE = os.environ.get("TROUBLE") != "0"
KEY = "moved-key-1"
OLD_TENANT, NEW_TENANT = "planner", "crew"
KEYS = {OLD_TENANT: ["planner-key-1", KEY], NEW_TENANT: ["crew-key-1"], "busy": ["busy-key-1"]}
# config-apply-ms of sites/khaima-ops.toml; the program takes the same without the setting.
CONFIG_APPLY_S = 3.0
# A transaction has up to 12 statements; each pause is far below tx-idle-ms, 2,000 here.
STATEMENTS, PAUSE_S = 12, 0.8
CHANGE_AFTER = 2
record = Record(Path(__file__).parent)


async def play() -> int:
    loop = asyncio.get_running_loop()
    async with run_deployment(record, keys={name: list(keys) for name, keys in KEYS.items()}) as (
        deployment,
        machines,
    ):
        client = await Client.open(machines[1].address, f"booking {KEY}")
        record.add(f"BEGIN: {await client.query('b1', 'BEGIN')}")
        sent_at: dict[str, float] = {}
        acked_at = float("inf")
        texts = [f"WRITE item{index} data" for index in range(1, STATEMENTS)] + ["COMMIT"]
        for index, text in enumerate(texts, start=1):
            await asyncio.sleep(PAUSE_S)
            sent_at[f"s{index}"] = loop.time()
            answer = await client.query(f"s{index}", text)
            record.add(f"s{index} {text}: {answer}")
            if index == CHANGE_AFTER and TROUBLE:
                deployment.keys[OLD_TENANT].remove(KEY)
                deployment.keys[NEW_TENANT].append(KEY)
                deployment.put_configuration()
                acked_at = loop.time()
                record.add(f"the store acknowledged that {KEY} is {NEW_TENANT}'s")
            if answer[-1].startswith("READY E") or answer[-1].startswith("READY I"):
                break
        client.close()
        other = await Client.open(machines[1].address, f"booking {KEY}")
        answer = await other.query("after", "READ item1")
        record.add(f"a new session with the key: {answer}")
        other.close()
        wrong = 0
        for run in deployment.group.runs:
            if run.request_id not in sent_at:
                record.add(f"ran {run.request_id} for tenant {run.account}")
                continue
            late_s = sent_at[run.request_id] - acked_at
            is_wrong = late_s > CONFIG_APPLY_S and run.account != NEW_TENANT
            wrong += is_wrong
            record.add(
                f"{run.server} ran {run.request_id} '{run.text}' for tenant {run.account}"
                + (f", sent {late_s:.1f} s after the ack" if late_s > 0 else "")
                + (": not the tenant that holds the key" if is_wrong else "")
            )
        record.add("BROKEN" if wrong else "held")
        return BROKEN if wrong else HELD


run_case(play())
