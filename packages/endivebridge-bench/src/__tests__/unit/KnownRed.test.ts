// Guards against a CI run that passes over a failure which is not listed, or fails for a listed one whose message changes.

import test from "ava";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const script = new URL("../../../../../scripts/known-red.mjs", import.meta.url).pathname;
const listed = "files › Memory › keeps its memory";
const other = "files › Memory › keeps its memory beside load";

/** Log of one run of AVA with the given failures, each a title and the message behind it. */
function runLog(failures: readonly (readonly [title: string, message: string])[], closingLines = ""): string {
    const reports = failures.map(([title, message]) => `  ✘ [fail]: ${title}${message === "" ? "" : ` ${message}`}`);
    const details = failures.map(([title, message]) => `  ${title}\n\n  ${message}\n\n  Value is not \`true\`:\n`);
    const count = failures.length;
    return [
        "  ✔ files › Memory › starts (1.2s)",
        ...reports,
        "  ─\n",
        ...details,
        "  ─\n",
        count === 0 ? "  1 test passed" : `  ${count} test${count === 1 ? "" : "s"} failed`,
        closingLines
    ].join("\n");
}

function exitCodeFor(log: string): number | undefined {
    const folder = mkdtempSync(join(tmpdir(), "endivebridge-"));
    writeFileSync(join(folder, "log"), log);
    writeFileSync(join(folder, "KNOWN-RED.txt"), `1. memory\n   test: ${listed}\n`);
    const { status } = spawnSync(process.execPath, [script, "log"], { cwd: folder });
    rmSync(folder, { recursive: true });
    return status ?? undefined;
}

test("passes over a listed test, whatever its message", t => {
    for (const message of ["", "290 MB", "Rejected promise returned by test", "timed out after 15000 ms: ready"]) {
        t.is(exitCodeFor(runLog([[listed, message]])), 0, message);
    }
    t.is(exitCodeFor(`${runLog([[listed, "290 MB"]])}\n${runLog([])}`), 0);
    t.is(exitCodeFor(`${runLog([[listed, "290 MB"]])}\n${runLog([[listed, "281 MB"]])}`), 0);
});

test("fails for a test that is not listed", t => {
    t.is(exitCodeFor(runLog([[other, "290 MB"]])), 1);
    t.is(exitCodeFor(runLog([[other, ""]])), 1);
    t.is(exitCodeFor(runLog([[listed, "290 MB"], [other, ""]])), 1);
    t.is(exitCodeFor(runLog([[other, ""], [listed, ""]])), 1);
    t.is(exitCodeFor(`${runLog([[listed, "290 MB"]])}\n${runLog([[other, "x"]])}`), 1);
});

test("fails for a run that ended otherwise", t => {
    t.is(exitCodeFor(runLog([])), 1);
    t.is(exitCodeFor(runLog([[listed, ""]], "  1 uncaught exception")), 1);
    t.is(exitCodeFor(runLog([[listed, ""]], "  1 hook failed")), 1);
    t.is(exitCodeFor(`${runLog([[listed, ""]])}\n  ✘ Timed out while running tests\n`), 1);
    t.is(exitCodeFor(`${runLog([[listed, ""]])}\n  ✘ a.test.ts exited with a non-zero exit code: 1\n`), 1);
    t.is(exitCodeFor(runLog([[listed, ""]]).replace("1 test failed", "2 tests failed")), 1);
});
