import test from "ava";
import { type InstanceView, judge, nothingWrong, pause, runSmall, startSmall, until, usableSlots } from "./SmallWorld";

test.serial("a killed instance: no operation runs twice, none is falsely called not run", async t => {
    const world = await startSmall();
    try {
        const running = runSmall(world, 0.5, { seconds: 8 });
        await pause(3_000);
        const victim = world.instances[0]!;
        await world.stopInstance(victim, "SIGKILL");
        await pause(2_000);
        await world.startInstance(victim);
        const { safety, all } = judge(world, await running);
        t.like(safety, { wrongAnswers: 0, doubledOperations: 0, falseNotRun: 0 });
        t.true(all.answered > 0.9 * all.sent);
    }
    finally {
        await world.close();
    }
});

test.serial("a paused holder is replaced, fences itself when it wakes, and comes back", async t => {
    const world = await startSmall();
    try {
        const [paused, sibling] = world.instances;
        const look = async (instance: typeof paused) =>
            await world.askOperator(instance!, "operator/instance") as InstanceView;
        const running = runSmall(world, 0.3, { seconds: 16 });
        await pause(2_000);
        paused!.process!.kill("SIGSTOP");
        t.true(await until(async () => usableSlots(await look(sibling)) === 12), "the sibling takes all slots over");
        paused!.process!.kill("SIGCONT");
        t.true(
            await until(async () => usableSlots(await look(paused)) === 6),
            "the woken instance gets its share back"
        );
        const { safety } = judge(world, await running);
        t.deepEqual(safety, nothingWrong);
    }
    finally {
        await world.close();
    }
});

test.serial("a graceful shutdown cuts no request and leaves no operation in doubt", async t => {
    const world = await startSmall();
    try {
        const running = runSmall(world, 0.4, { seconds: 8 });
        await pause(3_000);
        const code = await world.stopInstance(world.instances[1]!, "SIGTERM");
        const { safety, all } = judge(world, await running);
        t.is(code, 0);
        t.deepEqual(safety, nothingWrong);
        t.is(all.inDoubt, 0);
        t.is(all.failed, 0);
    }
    finally {
        await world.close();
    }
});

test.serial("requests go on while the platform is down, and the lease is held without it", async t => {
    const world = await startSmall();
    try {
        const running = runSmall(world, 0.4, { seconds: 11 });
        await pause(1_000);
        world.platform.faults.down = true;
        await pause(8_000);
        const views = await Promise.all(
            world.instances.map(async each => await world.askOperator(each, "operator/instance") as InstanceView)
        );
        world.platform.faults.down = false;
        const { safety, all } = judge(world, await running);
        t.deepEqual(views.map(view => view.leaseHeld), [true, true, true, true]);
        t.deepEqual(safety, nothingWrong);
        t.is(all.failed, 0);
    }
    finally {
        await world.close();
    }
});

test.serial("answers cut on the way from a backend server never reach a caller as whole", async t => {
    const world = await startSmall({ backendLinks: true });
    try {
        const running = runSmall(world, 0.3, { seconds: 6 });
        await pause(2_000);
        // Some answers end in the middle, others in the middle of a later answer on the same connection.
        [...world.backendLinks.values()].slice(0, 2).forEach(link => link.truncateAfterBytes = 5_000);
        await pause(2_000);
        world.backendLinks.forEach(link => link.truncateAfterBytes = undefined);
        const { safety } = judge(world, await running);
        t.like(safety, { wrongAnswers: 0, doubledOperations: 0, falseNotRun: 0 });
    }
    finally {
        await world.close();
    }
});

test.serial("a failure domain cut off from the others and the platform serves its own callers", async t => {
    const world = await startSmall();
    try {
        const running = runSmall(world, 0.4, { seconds: 12 });
        await pause(2_000);
        world.setPartitioned("west-1", true);
        const cutOff = world.instances.filter(each => each.domain === "west-1");
        const look = () =>
            Promise.all(
                cutOff.map(async each => await world.askOperator(each, "operator/instance") as InstanceView)
            );
        let lapses = 0;
        for (let looks = 0; looks < 35; looks += 1) {
            await pause(200);
            lapses += (await look()).filter(view => !view.leaseHeld).length;
        }
        const views = await look();
        world.setPartitioned("west-1", false);
        const { safety, all } = judge(world, await running);
        t.is(lapses, 0, "leases are held all the while");
        t.deepEqual(views.map(view => view.leaseHeld), [true, true]);
        t.like(safety, { wrongAnswers: 0, doubledOperations: 0, falseNotRun: 0 });
        t.true(all.answered >= 0.99 * all.sent);
    }
    finally {
        await world.close();
    }
});
