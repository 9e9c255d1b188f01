import test from "ava";
import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { operatorKey } from "../../InstanceProcesses";
import { programPath, repositoryRoot } from "../../Programs";
import { startSmall, until } from "./SmallWorld";

interface Ended {
    readonly code: number;
    readonly out: string;
    readonly error: string;
}

function runProgram(
    program: string,
    parameters: readonly string[],
    environment: Readonly<Record<string, string>> = {}
): Promise<Ended> {
    return new Promise(resolve => {
        const options = { env: { ...process.env, ...environment }, timeout: 20_000, maxBuffer: 16 * 1_048_576 };
        execFile(
            process.execPath,
            [programPath(program), ...parameters],
            options,
            (error, out, errorText) =>
                resolve({ code: typeof error?.code === "number" ? error.code : error ? -1 : 0, out, error: errorText })
        );
    });
}

test.serial("operators ask, command and look back through any instance", async t => {
    const world = await startSmall();
    try {
        const environment = { ENDIVECTL_ADDRESS: world.instances[2]!.callerAddress, ENDIVECTL_KEY: operatorKey };
        const ctl = (line: string) => runProgram("endivectl", line.split(" "), environment);

        const shown = await ctl("show instances --json");
        t.is(shown.code, 0, shown.error);
        t.is((JSON.parse(shown.out) as { readonly rows: readonly unknown[]; }).rows.length, 4);

        const capped = await ctl("cap shift of circulation into east to 40 requests per second");
        t.is(capped.code, 0, capped.error);
        const everywhere = async () => {
            const { out } = await ctl("show configuration in force --json");
            const { rows } = JSON.parse(out) as {
                readonly rows: readonly { readonly configurationVersion: number; }[];
            };
            return rows.length === 4 && rows.every(row => row.configurationVersion === 2);
        };
        t.true(await until(everywhere));
        t.regex((await ctl("show shifts where region = east")).out, /capRequestsPerSecond/);

        const dry = await ctl("drain region west at 5% per minute --dry-run");
        t.is(dry.code, 0, dry.error);
        t.regex(dry.out, /would become version 3/);
        t.regex(dry.error, /callers of west send/);

        t.is((await ctl("drain region nowhere at 5% per minute")).code, 2);
        t.is((await ctl("show cats")).code, 2);
        t.is(
            (await runProgram("endivectl", ["show", "instances"], { ...environment, ENDIVECTL_KEY: "wrong" })).code,
            3
        );
        t.is((await runProgram("endivectl", ["show", "instances"], { ENDIVECTL_ADDRESS: "127.0.0.1:9" })).code, 1);
        t.regex((await ctl("explain lookup 127.1.0.9 circulation")).out, /belongs to east/);

        const trace = await runProgram("endivetrace", ["--kind", "configurationInForce", "--about", "2"], environment);
        t.is(trace.code, 0, trace.error);
        world.instances.forEach(instance => t.true(trace.out.includes(instance.instance)));
    }
    finally {
        await world.close();
    }
});

test.serial("of two operators at once one wins and the other is shown what won", async t => {
    const world = await startSmall();
    try {
        const [first, , third] = world.instances;
        const { text } = await world.askOperator(first!, "operator/configuration") as { readonly text: string; };
        const by = (author: string) => ({ basedOnVersion: 1, text, author, dryRun: false });
        const outcomes = await Promise.all([
            world.command(first!, by("ann")),
            world.command(third!, by("bob"))
        ]) as readonly { readonly outcome: string; readonly author?: string; readonly version: number; }[];
        const won = outcomes.findIndex(each => each.outcome === "accepted");
        const lost = outcomes[1 - won]!;
        t.deepEqual(outcomes.map(each => each.outcome).sort(), ["accepted", "conflict"]);
        t.is(lost.author, ["ann", "bob"][won]);

        // An answer lost after the write took effect is settled: the command is applied once, and said to be.
        world.platform.faults.lostAnswerShare = 1;
        const settled = await world.command(first!, { ...by("cat"), basedOnVersion: 2 });
        world.platform.faults.lostAnswerShare = 0;
        t.deepEqual(settled, { outcome: "accepted", version: 3 });
        t.is(world.platform.rows().get("configuration/0000000003")?.version, 1);
        const invalid = await world.command(first!, { ...by("dan"), basedOnVersion: 3, text: "{ \"regions\": 3 }" });
        t.snapshot(invalid);
    }
    finally {
        await world.close();
    }
});

test.serial("every program tells its version and its use; wrong settings end with 2 and every fault", async t => {
    for (const program of ["endivebridged", "endivectl", "endivetrace", "endivebench"]) {
        t.is((await runProgram(program, ["--version"])).code, 0);
        t.regex((await runProgram(program, ["--help"])).out, /Usage/);
    }
    const good = join(repositoryRoot(), "examples", "gedeon-settings.jsonc");
    t.is((await runProgram("endivebridged", [good, "--check"])).code, 0);
    const bad = join(tmpdir(), `endivebridge-bad-${process.pid}.jsonc`);
    writeFileSync(bad, "{ \"instance\": 1,\n \"callers\": { \"port\": 99999 } }");
    const ended = await runProgram("endivebridged", [bad]);
    t.is(ended.code, 2);
    t.true(ended.error.split("\n").length > 4);
    t.is((await runProgram("endivebridged", ["/no/such/file"])).code, 2);
});
