// Guards against operations that run twice, run although reported as not run, or fail without need, when instances are
// killed, paused, shut down or partitioned, when the platform is down, and when server connections are cut mid-answer.
import test from "ava";
import {
    evaluateRun,
    type InstanceView,
    noViolations,
    pause,
    runSmallLoad,
    smallDeployment,
    startSmallTestbed,
    usableSlots,
    waitUntil
} from "./SmallTestbed";

test.serial("runs no operation twice and reports none falsely as not run when an instance is killed", async t => {
    const testbed = await startSmallTestbed();
    try {
        const running = runSmallLoad(testbed, 0.5, { seconds: 8 });
        await pause(3_000);
        const killedInstance = testbed.instances[0]!;
        await testbed.stopInstance(killedInstance, "SIGKILL");
        await pause(2_000);
        await testbed.startInstance(killedInstance);
        const { safety, all } = evaluateRun(testbed, await running);
        t.like(safety, { wrongAnswers: 0, doubledOperations: 0, falseNotRun: 0 });
        t.true(all.answered > 0.9 * all.sent);
    }
    finally {
        await testbed.close();
    }
});

test.serial("moves the slots of a paused instance to its sibling and returns its share after it resumes", async t => {
    const testbed = await startSmallTestbed();
    try {
        const [pausedInstance, sibling] = testbed.instances;
        const readView = async (instance: typeof pausedInstance) =>
            await testbed.queryOperatorApi(instance!, "operator/instance") as InstanceView;
        const running = runSmallLoad(testbed, 0.3, { seconds: 16 });
        await pause(2_000);
        pausedInstance!.process!.kill("SIGSTOP");
        t.true(
            await waitUntil(async () => usableSlots(await readView(sibling)) === 12),
            "the sibling takes over all slots"
        );
        pausedInstance!.process!.kill("SIGCONT");
        t.true(
            await waitUntil(async () => usableSlots(await readView(pausedInstance)) === 6),
            "the resumed instance regains its share of the slots"
        );
        const { safety } = evaluateRun(testbed, await running);
        t.deepEqual(safety, noViolations);
    }
    finally {
        await testbed.close();
    }
});

test.serial("fails no request and leaves no operation in doubt on graceful shutdown", async t => {
    const testbed = await startSmallTestbed();
    try {
        const running = runSmallLoad(testbed, 0.4, { seconds: 8 });
        await pause(3_000);
        const code = await testbed.stopInstance(testbed.instances[1]!, "SIGTERM");
        const { safety, all } = evaluateRun(testbed, await running);
        t.is(code, 0);
        t.deepEqual(safety, noViolations);
        t.is(all.inDoubt, 0);
        t.is(all.failed, 0);
    }
    finally {
        await testbed.close();
    }
});

test.serial("serves requests and keeps leases while the platform is down", async t => {
    const testbed = await startSmallTestbed();
    try {
        const running = runSmallLoad(testbed, 0.4, { seconds: 11 });
        await pause(1_000);
        testbed.platform.faults.isDown = true;
        await pause(8_000);
        const views = await Promise.all(
            testbed.instances.map(async each =>
                await testbed.queryOperatorApi(each, "operator/instance") as InstanceView
            )
        );
        testbed.platform.faults.isDown = false;
        const { safety, all } = evaluateRun(testbed, await running);
        t.deepEqual(views.map(view => view.leaseHeld), [true, true, true, true]);
        t.deepEqual(safety, noViolations);
        t.is(all.failed, 0);
    }
    finally {
        await testbed.close();
    }
});

test.serial("never delivers a truncated backend answer to a caller as complete", async t => {
    const testbed = await startSmallTestbed({ hasBackendLinks: true });
    try {
        const running = runSmallLoad(testbed, 0.3, { seconds: 6 });
        await pause(2_000);
        // Some connections end in the middle of their first answer, others in the middle of a later one.
        [...testbed.backendLinks.values()].slice(0, 2).forEach(link => link.truncateAfterBytes = 5_000);
        await pause(2_000);
        testbed.backendLinks.forEach(link => link.truncateAfterBytes = undefined);
        const { safety } = evaluateRun(testbed, await running);
        t.like(safety, { wrongAnswers: 0, doubledOperations: 0, falseNotRun: 0 });
    }
    finally {
        await testbed.close();
    }
});

test.serial("serves the callers of a failure domain partitioned from other domains and the platform", async t => {
    const testbed = await startSmallTestbed();
    try {
        const running = runSmallLoad(testbed, 0.4, { seconds: 12 });
        await pause(2_000);
        testbed.setPartitioned("west-1", true);
        const partitionedInstances = testbed.instances.filter(each => each.domain === "west-1");
        const readViews = () =>
            Promise.all(
                partitionedInstances.map(async each =>
                    await testbed.queryOperatorApi(each, "operator/instance") as InstanceView
                )
            );
        let lapsedLeases = 0;
        for (let polls = 0; polls < 35; polls += 1) {
            await pause(200);
            lapsedLeases += (await readViews()).filter(view => !view.leaseHeld).length;
        }
        const views = await readViews();
        testbed.setPartitioned("west-1", false);
        const { safety, all } = evaluateRun(testbed, await running);
        t.is(lapsedLeases, 0, "every lease is held throughout the partition");
        t.deepEqual(views.map(view => view.leaseHeld), [true, true]);
        t.like(safety, { wrongAnswers: 0, doubledOperations: 0, falseNotRun: 0 });
        t.true(all.answered >= 0.99 * all.sent);
    }
    finally {
        await testbed.close();
    }
});

test.serial("serves the callers of an instance that reaches no backend server over a peer of its region", async t => {
    const testbed = await startSmallTestbed({
        deployment: { ...smallDeployment, domainsPerRegion: 2, instancesPerDomain: 1 }
    });
    try {
        const closedAddress = "127.0.0.1:1";
        const closedServers = Object.fromEntries(
            testbed.backends.map(({ standIn }) => [`127.0.0.1:${standIn.port}`, closedAddress])
        );
        testbed.platform.setAddressMappings({
            ...testbed.views,
            "west-1": { ...testbed.views["west-1"], ...closedServers }
        });
        testbed.publishInstanceList();
        await runSmallLoad(testbed, 0.2, { seconds: 4 });
        const { safety, all } = evaluateRun(testbed, await runSmallLoad(testbed, 0.2, { seconds: 4 }));
        t.like(safety, { wrongAnswers: 0, falseNotRun: 0 });
        t.true(all.answered >= 0.99 * all.sent);
    }
    finally {
        await testbed.close();
    }
});
