import test from "ava";
import { readLog, renderTrace, traceRequest } from "../../RequestTrace";

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

test("a request's own lines stand with what may have caused them, in the order of time", t => {
    t.snapshot(renderTrace(traceRequest(readLog(log), "r2")));
});

test("lines of other requests, instances, servers and times are left out", t => {
    const lines = traceRequest(readLog(log), "r1").map(({ logged }) => logged.message);
    t.deepEqual(lines, ["ok", "lost the platform's store"]);
    t.deepEqual(traceRequest(readLog(log), "r3"), []);
});
