import sade from "sade";
import packageFile from "../package.json";
import { serveBaseline } from "./Baseline";
import { serveCallerProcess } from "./CallerProcess";
import { runDemo } from "./Demo";
import { servePassThrough } from "./PassThrough";
import { runScenario, type Scenario } from "./ScenarioReport";
import { config } from "./scenarios/Config";
import { control } from "./scenarios/Control";
import { drain } from "./scenarios/DrainRegion";
import { headroom } from "./scenarios/Headroom";
import { leavingServer } from "./scenarios/LeavingServer";
import { lookups } from "./scenarios/Lookups";
import { operations } from "./scenarios/Operations";
import { overhead } from "./scenarios/Overhead";
import { partition } from "./scenarios/Partition";
import { poison } from "./scenarios/Poison";
import { regionLoss } from "./scenarios/RegionLoss";
import { rolling } from "./scenarios/Rolling";
import { silentConnections } from "./scenarios/SilentConnections";
import { slowServers } from "./scenarios/SlowServers";
import { storeOutage } from "./scenarios/StoreOutage";
import { stragglers } from "./scenarios/Stragglers";

interface NamedScenario {
    readonly name: string;
    readonly description: string;
    readonly seconds: number;
    readonly scenario: Scenario;
}

const scenarios: readonly NamedScenario[] = [
    { name: "overhead", description: "Cost against direct and a plain pass-through", seconds: 30, scenario: overhead },
    {
        name: "slow-servers",
        description: "A tenth of the servers ten times slower",
        seconds: 36,
        scenario: slowServers
    },
    { name: "stragglers", description: "2% of requests twenty times longer", seconds: 42, scenario: stragglers },
    { name: "headroom", description: "Load from 50% to 150%", seconds: 36, scenario: headroom },
    { name: "leaving-server", description: "Servers are listed as leaving", seconds: 16, scenario: leavingServer },
    {
        name: "silent-connections",
        description: "Open connections to a third of the servers go silent",
        seconds: 20,
        scenario: silentConnections
    },
    { name: "poison", description: "Requests that crash their servers", seconds: 20, scenario: poison },
    { name: "region-loss", description: "One region is killed and comes back", seconds: 32, scenario: regionLoss },
    { name: "drain", description: "A region is drained at a rate and returned", seconds: 36, scenario: drain },
    {
        name: "operations",
        description: "Seeded faults while callers resend on every doubt",
        seconds: 36,
        scenario: operations
    },
    { name: "store-outage", description: "The table service is down, then slow", seconds: 32, scenario: storeOutage },
    { name: "partition", description: "A failure domain is cut off for 10 s", seconds: 26, scenario: partition },
    { name: "config", description: "Operators in conflict while the platform flaps", seconds: 30, scenario: config },
    { name: "rolling", description: "Every instance is replaced in turn", seconds: 42, scenario: rolling },
    { name: "lookups", description: "Look-ups at the letter's size", seconds: 18, scenario: lookups },
    { name: "control", description: "Cost of control at 6, 12 and 24 instances", seconds: 36, scenario: control }
];

const sigtermExitCode = 130;

function exitAfter(run: Promise<number>): void {
    run.then(code => process.exit(code), (error: unknown) => {
        console.error(error instanceof Error ? error.stack : String(error));
        process.exit(1);
    });
}

process.once("SIGTERM", () => process.exit(sigtermExitCode));

const program = sade("endivebench").version(packageFile.version);

program
    .command("demo", "Run a whole deployment on loopback and print what its callers saw", { default: true })
    .option("--deployment", "stacklight or gedeon", "stacklight")
    .option("--seconds", "Seconds of load", 15)
    .option("--seed", "Seed of the load", 1)
    .option("--json", "Print one JSON object as the last line")
    .option("--stay", "Keep running afterwards")
    .action(options =>
        exitAfter(runDemo({
            deployment: String(options.deployment),
            seconds: Number(options.seconds),
            seed: Number(options.seed),
            json: options.json === true,
            stay: options.stay === true
        }))
    );

for (const { name, description: describe, seconds, scenario } of scenarios) {
    program
        .command(name, describe)
        .option("--seed", "Seed of the load and the faults", 1)
        .option("--seconds", "Seconds of load", seconds)
        .option("--json", "Accepted for symmetry; the last line is always JSON")
        .action(options =>
            exitAfter(runScenario(name, scenario, { seed: Number(options.seed), seconds: Number(options.seconds) }))
        );
}

program
    .command("caller-process", "Used by the other commands: sends the load")
    .action(serveCallerProcess);

program
    .command("baseline-process <plan>", "Used by scenarios: a baseline policy")
    .action(serveBaseline);

program
    .command("pass-through-process <target>", "Used by overhead: a plain proxy")
    .action(servePassThrough);

program.parse(process.argv);
