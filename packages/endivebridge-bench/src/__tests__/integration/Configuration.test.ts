// Guards against an instance that misses an accepted configuration or reverts to an older one, when it restarts during
// a platform outage or when the answer to the write of a new version is lost.
import test from "ava";
import { Effect } from "effect";
import { type InstanceView, pause, startSmallTestbed, waitUntil } from "./SmallTestbed";

test.serial("applies an accepted configuration on every instance and does not revert it", async t => {
    const testbed = await startSmallTestbed();
    try {
        const initialRow = testbed.platform.rows().get("configuration/0000000001")!.value as {
            readonly value: { readonly text: string; };
        };
        const accept = (version: number) =>
            Effect.runPromise(
                testbed.platformClient.writeRow(
                    `configuration/${String(version).padStart(10, "0")}`,
                    0,
                    initialRow.value
                )
            );
        const readVersions = async () =>
            await Promise.all(
                testbed.instances.map(async each =>
                    (await testbed.queryOperatorApi(each, "operator/instance") as InstanceView).configurationVersion
                )
            );
        await accept(2);
        t.true(await waitUntil(async () => (await readVersions()).every(version => version === 2)));

        // An instance that starts while the platform is down gets the version in force from its peers.
        const restarted = testbed.instances[3]!;
        await accept(3);
        t.true(await waitUntil(async () => (await readVersions()).every(version => version === 3)));
        testbed.platform.faults.isDown = true;
        await testbed.stopInstance(restarted, "SIGKILL");
        testbed.launch(restarted);
        t.true(await waitUntil(async () => (await readVersions()).every(version => version === 3)));
        testbed.platform.faults.isDown = false;
        testbed.platform.faults.lostResponseShare = 1;
        await accept(4);
        testbed.platform.faults.lostResponseShare = 0;
        t.true(await waitUntil(async () => (await readVersions()).every(version => version === 4)));
        await pause(1_000);
        t.deepEqual(await readVersions(), [4, 4, 4, 4]);
    }
    finally {
        await testbed.close();
    }
});
