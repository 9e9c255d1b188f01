// Guards against operator commands that fail through some instances, are applied twice or overwrite a concurrent
// change, and against programs whose exit codes or error reports are wrong.
import test from "ava";
import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { operatorKey } from "../../InstanceProcesses";
import { programPath, repositoryRoot } from "../../Programs";
import { startSmallTestbed, waitUntil } from "./SmallTestbed";

interface ProgramResult {
    readonly code: number;
    readonly stdout: string;
    readonly error: string;
}

function runProgram(
    program: string,
    commandLine: readonly string[],
    environment: Readonly<Record<string, string>> = {}
): Promise<ProgramResult> {
    return new Promise(resolve => {
        const options = { env: { ...process.env, ...environment }, timeout: 20_000, maxBuffer: 16 * 1_048_576 };
        execFile(
            process.execPath,
            [programPath(program), ...commandLine],
            options,
            (error, stdout, stderr) =>
                resolve({
                    code: typeof error?.code === "number" ? error.code : error ? -1 : 0,
                    stdout,
                    error: stderr
                })
        );
    });
}

test.serial("answers operator queries, commands and traces through any instance", async t => {
    const testbed = await startSmallTestbed();
    try {
        const environment = { ENDIVECTL_ADDRESS: testbed.instances[2]!.callerAddress, ENDIVECTL_KEY: operatorKey };
        const runEndivectl = (line: string) => runProgram("endivectl", line.split(" "), environment);

        const showResult = await runEndivectl("show instances --json");
        t.is(showResult.code, 0, showResult.error);
        t.is((JSON.parse(showResult.stdout) as { readonly rows: readonly unknown[]; }).rows.length, 4);

        const capResult = await runEndivectl("cap shift of circulation into east to 40 requests per second");
        t.is(capResult.code, 0, capResult.error);
        const isInForceEverywhere = async () => {
            const { stdout } = await runEndivectl("show configuration in force --json");
            const { rows } = JSON.parse(stdout) as {
                readonly rows: readonly { readonly configurationVersion: number; }[];
            };
            return rows.length === 4 && rows.every(row => row.configurationVersion === 2);
        };
        t.true(await waitUntil(isInForceEverywhere));
        t.regex((await runEndivectl("show shifts where region = east")).stdout, /capRequestsPerSecond/);

        const dryRunResult = await runEndivectl("drain region west at 5% per minute --dry-run");
        t.is(dryRunResult.code, 0, dryRunResult.error);
        t.regex(dryRunResult.stdout, /would become version 3/);
        t.regex(dryRunResult.error, /callers of west send/);

        t.is((await runEndivectl("drain region nowhere at 5% per minute")).code, 2);
        t.is((await runEndivectl("show cats")).code, 2);
        t.is(
            (await runProgram("endivectl", ["show", "instances"], { ...environment, ENDIVECTL_KEY: "wrong" })).code,
            3
        );
        t.is((await runProgram("endivectl", ["show", "instances"], { ENDIVECTL_ADDRESS: "127.0.0.1:9" })).code, 1);
        t.regex((await runEndivectl("explain lookup 127.1.0.9 circulation")).stdout, /belongs to east/);

        const trace = await runProgram("endivetrace", ["--kind", "configurationInForce", "--about", "2"], environment);
        t.is(trace.code, 0, trace.error);
        testbed.instances.forEach(instance => t.true(trace.stdout.includes(instance.instance)));
    }
    finally {
        await testbed.close();
    }
});

test.serial("of two operators at once one wins and the other is shown what won", async t => {
    const testbed = await startSmallTestbed();
    try {
        const [first, , third] = testbed.instances;
        const { text } = await testbed.queryOperatorApi(first!, "operator/configuration") as { readonly text: string; };
        const by = (author: string) => ({ basedOnVersion: 1, text, author, dryRun: false });
        const outcomes = await Promise.all([
            testbed.command(first!, by("ann")),
            testbed.command(third!, by("bob"))
        ]) as readonly { readonly outcome: string; readonly author?: string; readonly version: number; }[];
        const acceptedIndex = outcomes.findIndex(each => each.outcome === "accepted");
        const lost = outcomes[1 - acceptedIndex]!;
        t.deepEqual(outcomes.map(each => each.outcome).sort(), ["accepted", "conflict"]);
        t.is(lost.author, ["ann", "bob"][acceptedIndex]);

        // When the answer is lost after the write took effect, the command is applied once and reported as accepted.
        testbed.platform.faults.lostResponseShare = 1;
        const resolvedOutcome = await testbed.command(first!, { ...by("cat"), basedOnVersion: 2 });
        testbed.platform.faults.lostResponseShare = 0;
        t.deepEqual(resolvedOutcome, { outcome: "accepted", version: 3 });
        t.is(testbed.platform.rows().get("configuration/0000000003")?.version, 1);
        const invalid = await testbed.command(first!, { ...by("dan"), basedOnVersion: 3, text: "{ \"regions\": 3 }" });
        t.snapshot(invalid);
    }
    finally {
        await testbed.close();
    }
});

test.serial("prints version and usage of every program; exits with 2 and lists all faults of invalid settings", async t => {
    for (const program of ["endivebridged", "endivectl", "endivetrace", "endivebench"]) {
        t.is((await runProgram(program, ["--version"])).code, 0);
        t.regex((await runProgram(program, ["--help"])).stdout, /Usage/);
    }
    const validSettingsPath = join(repositoryRoot(), "examples", "gedeon-settings.jsonc");
    t.is((await runProgram("endivebridged", [validSettingsPath, "--check"])).code, 0);
    const invalidSettingsPath = join(tmpdir(), `endivebridge-bad-${process.pid}.jsonc`);
    writeFileSync(invalidSettingsPath, "{ \"instance\": 1,\n \"callers\": { \"port\": 99999 } }");
    const invalidSettingsResult = await runProgram("endivebridged", [invalidSettingsPath]);
    t.is(invalidSettingsResult.code, 2);
    t.true(invalidSettingsResult.error.split("\n").length > 4);
    t.is((await runProgram("endivebridged", ["/no/such/file"])).code, 2);
});
