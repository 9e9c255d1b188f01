import sade from "sade";
import packageFile from "../package.json";
import { serveBaseline } from "./Baseline";
import { serveCallerProcess } from "./CallerProcess";
import { runDemo } from "./Demo";
import { servePassThrough } from "./PassThrough";
import { runScenario, type Scenario } from "./ScenarioReport";
import { config } from "./scenarios/Config";
import { control } from "./scenarios/Control";
import { drain } from "./scenarios/Drain";
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
    {
        name: "overhead",
        description: "Overhead compared with direct requests and a plain proxy",
        seconds: 30,
        scenario: overhead
    },
    {
        name: "slow-servers",
        description: "10% of the servers run ten times slower",
        seconds: 36,
        scenario: slowServers
    },
    { name: "stragglers", description: "2% of requests take twenty times longer", seconds: 42, scenario: stragglers },
    {
        name: "headroom",
        description: "Load rises from 50% to 150% of the slot capacity",
        seconds: 36,
        scenario: headroom
    },
    {
        name: "leaving-server",
        description: "Servers are listed as leaving under load",
        seconds: 16,
        scenario: leavingServer
    },
    {
        name: "silent-connections",
        description: "Open connections to a third of the servers stop responding",
        seconds: 20,
        scenario: silentConnections
    },
    { name: "poison", description: "Requests that crash their servers", seconds: 20, scenario: poison },
    { name: "region-loss", description: "One region is killed and restarted", seconds: 32, scenario: regionLoss },
    { name: "drain", description: "A region is drained gradually and restored", seconds: 36, scenario: drain },
    {
        name: "operations",
        description: "Seeded faults while callers resend every request with an unknown outcome",
        seconds: 36,
        scenario: operations
    },
    { name: "store-outage", description: "The table service is down, then slow", seconds: 32, scenario: storeOutage },
    { name: "partition", description: "A failure domain is partitioned for 10 s", seconds: 26, scenario: partition },
    {
        name: "config",
        description: "Conflicting operator changes while the platform fails intermittently",
        seconds: 30,
        scenario: config
    },
    { name: "rolling", description: "Every instance is restarted in turn", seconds: 42, scenario: rolling },
    {
        name: "lookups",
        description: "Look-ups with 310,000 client blocks and 180 sites",
        seconds: 18,
        scenario: lookups
    },
    { name: "control", description: "Control-plane cost at 6, 12 and 24 instances", seconds: 36, scenario: control }
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
    .command("demo", "Run a complete deployment on loopback and print the outcomes and latencies of its callers", {
        default: true
    })
    .option("--deployment", "stacklight or gedeon", "stacklight")
    .option("--seconds", "Seconds of load", 15)
    .option("--seed", "Seed of the load", 1)
    .option("--json", "Print one JSON object as the last line")
    .option("--stay", "Keep the deployment running after the load, until Ctrl-C")
    .action(options =>
        exitAfter(runDemo({
            deployment: String(options.deployment),
            seconds: Number(options.seconds),
            seed: Number(options.seed),
            json: options.json === true,
            stay: options.stay === true
        }))
    );

for (const { name, description, seconds, scenario } of scenarios) {
    program
        .command(name, description)
        .option("--seed", "Seed of the load and the faults", 1)
        .option("--seconds", "Seconds of load", seconds)
        .option("--json", "Accepted for consistency with demo; the last line is always JSON")
        .action(options =>
            exitAfter(runScenario(name, scenario, { seed: Number(options.seed), seconds: Number(options.seconds) }))
        );
}

program
    .command("caller-process", "Internal: sends the load for the other commands")
    .action(serveCallerProcess);

program
    .command("baseline-process <plan>", "Internal: runs a baseline policy for scenarios")
    .action(serveBaseline);

program
    .command("pass-through-process <target>", "Internal: runs a plain proxy for overhead")
    .action(servePassThrough);

program.parse(process.argv);
