// Guards against a caller that gets a status which is none as its answer, or no answer, when a backend server sends one.

import { range } from "@endivebridge/shared";
import test from "ava";
import { type SingleInstance, startSingleInstance } from "./SingleInstance";

let single: SingleInstance;
let nextResponse: string | undefined;

test.before(async () => {
    single = await startSingleInstance(() => {
        const response = nextResponse ?? "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer";
        nextResponse = undefined;
        return response;
    });
});

test.after.always(() => single.close());

async function callOnce(path: string, headers: Readonly<Record<string, string>> = {}): Promise<number> {
    const response = await fetch(`http://${single.testbed.instances[0]!.callerAddress}/circulation/${path}`, {
        method: path === "holds" ? "GET" : "POST",
        headers: { "Endivebridge-Deadline-Millis": "1500", ...headers }
    });
    await response.text();
    return response.status;
}

for (const status of ["000", "001", "099", "600", "999", "1", "2000", "abc"]) {
    test.serial(`sends a read again and reports a write as lost when a server sends the status ${status}`, async t => {
        const odd = `HTTP/1.1 ${status} Odd\r\nContent-Length: 3\r\n\r\nodd`;
        // The retry budget is a share of ordinary reads.
        for (const {} of range(40)) {
            await callOnce("holds");
        }
        nextResponse = odd;
        t.is(await callOnce("holds"), 200);
        nextResponse = odd;
        t.is(await callOnce("checkouts", { "Idempotency-Key": `write-${status}` }), 502);
    });
}
