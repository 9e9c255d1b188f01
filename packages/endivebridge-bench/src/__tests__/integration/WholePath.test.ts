// Guards against wrong or truncated answers and repeated operations on the path from caller to backend server, and
// against malformed or unauthorized requests that are accepted or crash an instance.
import test from "ava";
import { connect } from "node:net";
import { operatorKey } from "../../InstanceProcesses";
import { evaluateRun, noViolations, runSmallLoad, startSmallTestbed } from "./SmallTestbed";

interface ResponseSummary {
    readonly status: number;
    readonly error: string | undefined;
    readonly ran: string | undefined;
}

/** Sends a request text unchanged over TCP and parses the status and Endivebridge headers of the answer. */
function sendRaw(address: string, text: string): Promise<ResponseSummary> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        const socket = connect({ host, port: Number(port) }, () => socket.write(text));
        let answer = "";
        socket.setTimeout(5_000, () => socket.destroy());
        socket.on("data", chunk => {
            answer += chunk.toString();
            if (answer.includes("\r\n\r\n")) {
                socket.destroy();
            }
        });
        socket.on("error", reject);
        socket.on("close", () =>
            resolve({
                status: Number(answer.slice(9, 12)),
                error: /endivebridge-error: (\w+)/i.exec(answer)?.[1],
                ran: /endivebridge-ran: (\w+)/i.exec(answer)?.[1]
            }));
    });
}

const hostileRequests: readonly string[] = [
    "GET /circulation/holds HTTP/1.1\r\nHost: x\r\nEndivebridge-Deadline-Millis: soon\r\n\r\n",
    "GET /circulation/holds HTTP/1.1\r\nHost: x\r\nEndivebridge-Deadline-Millis: 5\r\nEndivebridge-Deadline-Millis: 6\r\n\r\n",
    "GET /circulation/holds HTTP/1.1\r\n\r\n",
    "GET /nowhere/holds HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET /__proto__/holds HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET http://other/ HTTP/1.1\r\nHost: x\r\n\r\n",
    "POST /circulation/checkouts HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
    "POST /circulation/checkouts HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n",
    "POST /circulation/checkouts HTTP/1.1\r\nHost: x\r\nEndivebridge-Operation: ../../x\r\nContent-Length: 0\r\n\r\n",
    "POST /circulation/checkouts HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    `GET /circulation/holds HTTP/1.1\r\nHost: x\r\nX: ${"y".repeat(40_000)}\r\n\r\n`,
    "\u0000\u0001\u0002\r\n\r\n",
    "GET /.endivebridge/operator/instance HTTP/1.1\r\nHost: x\r\n\r\n",
    "GET /.endivebridge/operator/instance HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\n\r\n",
    "GET /.endivebridge/lookup?service=nowhere HTTP/1.1\r\nHost: x\r\n\r\n"
];

test.serial("callers get whole answers, operations run once, and hostile requests are refused", async t => {
    const testbed = await startSmallTestbed();
    try {
        const { safety, all } = evaluateRun(testbed, await runSmallLoad(testbed, 0.4, { seconds: 5 }));
        t.deepEqual(safety, noViolations);
        t.is(all.failed, 0);
        t.true(all.answered > 300);

        const entry = testbed.instances[0]!;
        const responses = [];
        for (const text of hostileRequests) {
            responses.push({ sent: text.slice(0, 60), ...await sendRaw(entry.callerAddress, text) });
        }
        t.snapshot(responses);
        t.is(entry.process?.exitCode ?? undefined, undefined);

        const peer = await fetch(`http://${entry.callerAddress}/.endivebridge/operator/instance`, {
            headers: { authorization: `Bearer ${operatorKey}` }
        });
        t.is(peer.status, 200);
    }
    finally {
        await testbed.close();
    }
});
