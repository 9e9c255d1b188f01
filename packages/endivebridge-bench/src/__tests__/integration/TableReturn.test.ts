// Guards against rows of the platform's table that are lost or mistaken when the table returns from a copy: versions go
// back and are given out again.
import { makePlatformClient } from "@endivebridge/platform";
import { startPlatformStandIn } from "@endivebridge/standins";
import test, { type ExecutionContext } from "ava";
import { Effect, Result } from "effect";
import type { Testbed } from "../../Testbed";
import { type InstanceView, startSmallTestbed, waitUntil } from "./SmallTestbed";

/** Stand-in with a row at version 2, and a copy in which the row has version 1. */
async function startReturningTable(t: ExecutionContext) {
    const platform = await startPlatformStandIn();
    t.teardown(platform.close);
    const makeClient = () => makePlatformClient({ url: `http://127.0.0.1:${platform.port}`, timeoutMillis: 2_000 });
    const [reader, writer] = [makeClient(), makeClient()];
    const write = (version: number, value: string) => Effect.runPromise(writer.writeRow("row", version, value));
    const first = await write(0, "first");
    platform.keepCopy();
    await write(first.version, "lost");
    return { platform, reader, writer };
}

test("a row that was written again after the table returned is not taken for the cached one", async t => {
    const { platform, reader, writer } = await startReturningTable(t);
    const before = await Effect.runPromise(reader.readRow("row"));
    t.is(before?.value, "lost");
    platform.returnToCopy();
    const returned = await Effect.runPromise(writer.readRow("row"));
    t.is(returned?.value, "first");
    await Effect.runPromise(writer.writeRow("row", returned!.version, "again"));
    const after = await Effect.runPromise(reader.readRow("row"));
    t.is(after?.value, "again");
    t.true(after!.version > before!.version, "the version has grown");
});

test("a write planned before the table returned does not replace a row that was written since", async t => {
    const { platform, reader, writer } = await startReturningTable(t);
    const before = await Effect.runPromise(reader.readRow("row"));
    platform.returnToCopy();
    const returned = await Effect.runPromise(writer.readRow("row"));
    await Effect.runPromise(writer.writeRow("row", returned!.version, "again"));
    const written = await Effect.runPromise(Effect.result(reader.writeRow("row", before!.version, "stale")));
    t.true(Result.isFailure(written) && written.failure.kind === "conflict");
    t.is((await Effect.runPromise(writer.readRow("row")))?.value, "again");
});

interface WriteResult {
    readonly status: number;
    readonly ran: string | null;
}

async function writeWithKey(testbed: Testbed, instance: number, key: string): Promise<WriteResult> {
    const { callerAddress } = testbed.instances[instance]!;
    const response = await fetch(`http://${callerAddress}/circulation/checkouts`, {
        method: "POST",
        body: key,
        headers: { "idempotency-key": key, "endivebridge-deadline-millis": "3000" }
    });
    await response.arrayBuffer();
    return { status: response.status, ran: response.headers.get("endivebridge-ran") };
}

const countRuns = (testbed: Testbed) => testbed.records().reduce((sum, { ran }) => sum + ran, 0);

test.serial("a write under an idempotency key does not run again after the table has lost its row", async t => {
    const testbed = await startSmallTestbed();
    try {
        const isServing = async () => (await writeWithKey(testbed, 1, `warm-up-${Math.random()}`)).status === 200;
        t.true(await waitUntil(isServing));
        testbed.platform.keepCopy();
        t.is((await writeWithKey(testbed, 0, "once")).status, 200);
        const runs = countRuns(testbed);
        testbed.platform.returnToCopy();
        const resends = await Promise.all([0, 1, 2, 3].map(instance => writeWithKey(testbed, instance, "once")));
        t.true(resends.every(({ status, ran }) => status === 200 || ran === "no"), JSON.stringify(resends));
        t.true(await waitUntil(async () => (await writeWithKey(testbed, 3, "once")).status === 200));
        t.is(countRuns(testbed), runs);
    }
    finally {
        await testbed.close();
    }
});

test.serial("a configuration in force is written again to a table that has lost it", async t => {
    const testbed = await startSmallTestbed();
    try {
        const keyOf = (version: number) => `configuration/${String(version).padStart(10, "0")}`;
        const initial = testbed.platform.rows().get(keyOf(1))!.value as { readonly value: { readonly text: string; }; };
        testbed.platform.keepCopy();
        await Effect.runPromise(testbed.platformClient.writeRow(keyOf(2), 0, initial.value));
        const isInForce = async () =>
            (await Promise.all(testbed.instances.map(each => testbed.queryOperatorApi(each, "operator/instance"))))
                .every(view => (view as InstanceView).configurationVersion === 2);
        t.true(await waitUntil(isInForce));
        testbed.platform.returnToCopy();
        const command = { basedOnVersion: 1, text: initial.value.text, author: "ann", dryRun: false };
        const outcome = await testbed.command(testbed.instances[0]!, command) as { readonly outcome: string; };
        t.is(outcome.outcome, "conflict", "no other version 2 is accepted");
        t.true(await waitUntil(() => Promise.resolve(testbed.platform.rows().has(keyOf(2)))));
    }
    finally {
        await testbed.close();
    }
});
