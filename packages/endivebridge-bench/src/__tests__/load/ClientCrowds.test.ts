// Guards against an instance that does not end for what clients have sent and don't wait for.

import { openClientCrowd } from "@endivebridge/standins";
import test from "ava";
import { once } from "node:events";
import { pause, smallDeployment, startSmallTestbed } from "../integration/SmallTestbed";

const nodeArguments = ["--max-old-space-size=128", "--max-semi-space-size=2"];

const deployment = {
    ...smallDeployment,
    name: "single",
    regions: ["east"],
    instancesPerDomain: 1
};

const read = "GET /circulation/holds HTTP/1.1\r\nHost: desk.example\r\nEndivebridge-Deadline-Millis: 2000\r\n\r\n";

test.serial("ends on the stop signal after clients have left whose requests had no answer", async t => {
    t.timeout(120_000);
    const testbed = await startSmallTestbed({ deployment, nodeArguments, timing: { drainMillis: 60_000 } });
    t.teardown(testbed.close);
    testbed.backends.forEach(({ standIn }) => standIn.behaviour.serviceMillis = 1_000);
    const child = testbed.instances[0]!.process!;
    const [host = "", port] = testbed.instances[0]!.callerAddress.split(":");
    const crowd = openClientCrowd({
        host,
        port: Number(port),
        connections: 10,
        connection: () => ({ begin: read.repeat(20) })
    });
    await pause(1_000);
    crowd.close();
    await pause(1_000);
    child.kill("SIGTERM");
    await Promise.race([once(child, "exit"), pause(30_000)]);
    t.is(child.exitCode, 0);
});
