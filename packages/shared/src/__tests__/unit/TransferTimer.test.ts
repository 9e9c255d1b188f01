// Guards against a transfer that is cut off while bytes arrive, and against one that never ends.

import test from "ava";
import { setTimeout as sleep } from "node:timers/promises";
import { startTransferTimer } from "../../TransferTimer";

const timeouts = { firstByteMillis: 300, silenceMillis: 200, maxTransferMillis: 800 };

/** Records a chunk every 20 ms for the given time, then waits; returns the time-outs. */
async function transfer(chunksForMillis: number, thenWaitMillis: number): Promise<readonly string[]> {
    const timedOut: string[] = [];
    const timer = startTransferTimer(timeouts, detail => timedOut.push(detail));
    const startedMillis = performance.now();
    while (timedOut.length === 0 && performance.now() - startedMillis < chunksForMillis) {
        timer.recordChunk();
        await sleep(20);
    }
    await sleep(thenWaitMillis);
    timer.stop();
    return timedOut;
}

test("times out on a missing response, on silence and on a trickle without end, but not on a slow transfer", async t => {
    const [slow, missing, stalled, endless] = await Promise.all([
        transfer(600, 0),
        transfer(0, 500),
        transfer(100, 500),
        transfer(2_000, 0)
    ]);
    t.deepEqual({ slow, missing, stalled, endless }, {
        slow: [],
        missing: ["response timed out"],
        stalled: ["transfer stalled"],
        endless: ["transfer takes too long"]
    });
});
