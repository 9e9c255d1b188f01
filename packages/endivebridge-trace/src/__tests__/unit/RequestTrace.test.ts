// Guards the trace of one request: a trace that omits a possible cause of the outcome, or that shows events of other
// requests, instances, servers or times.
import test from "ava";
import { parseLog, renderTrace, traceRequest } from "../../RequestTrace";

const line = (instance: string, time: string, event: string, fields: object, msg: string): string =>
    JSON.stringify({ name: "endivebridged", instance, pid: 1, level: 30, event, ...fields, msg, time, v: 0 });

const log = [
    "   12.1 entry-0 "
    + line("entry-0", "2026-09-15T08:15:01.000Z", "answered", { requestId: "r1", server: "i-1" }, "ok"),
    line("entry-0", "2026-09-15T08:15:04.000Z", "failed answerLost", {
        requestId: "r2",
        server: "i-2",
        status: 502
    }, "request not served"),
    line("entry-0", "2026-09-15T08:15:03.900Z", "crash", {
        requestId: "r2",
        server: "i-2",
        isQuarantined: false
    }, "backend server crashed soon after the request was sent"),
    line("entry-0", "2026-09-15T08:15:06.000Z", "server", { id: "i-2", reason: "entry removed" }, "server gone"),
    line("entry-0", "2026-09-15T08:15:02.000Z", "store", { table: "servers" }, "lost the platform's store"),
    line("entry-0", "2026-09-15T08:13:02.000Z", "store", { table: "servers" }, "lost the platform's store"),
    line("entry-0", "2026-09-15T08:15:03.000Z", "server", { id: "i-9" }, "server is leaving"),
    line("entry-1", "2026-09-15T08:15:03.000Z", "store", { table: "servers" }, "lost the platform's store"),
    "{\"event\":\"cut",
    "not a line of a log"
].join("\n");

test("lists the events of a request and their possible causes in order of time", t => {
    t.snapshot(renderTrace(traceRequest(parseLog(log), "r2")));
});

test("omits events of other requests, instances, servers and times", t => {
    const lines = traceRequest(parseLog(log), "r1").map(({ logged }) => logged.message);
    t.deepEqual(lines, ["ok", "lost the platform's store"]);
    t.deepEqual(traceRequest(parseLog(log), "r3"), []);
});
