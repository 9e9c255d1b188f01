import sade from "sade";
import packageFile from "../package.json";
import { serveCallerProcess } from "./CallerProcess";
import { runDemo } from "./Demo";

function finish(run: Promise<number>): void {
    run.then(code => process.exit(code), (error: unknown) => {
        console.error(error instanceof Error ? error.stack : String(error));
        process.exit(1);
    });
}

const program = sade("endivebench").version(packageFile.version);

program
    .command("demo", "Run a whole deployment on loopback and print what its callers saw", { default: true })
    .option("--deployment", "stacklight or gedeon", "stacklight")
    .option("--seconds", "Seconds of load", 15)
    .option("--seed", "Seed of the load", 1)
    .option("--json", "Print one JSON object as the last line")
    .option("--stay", "Keep running afterwards")
    .action(options =>
        finish(runDemo({
            deployment: String(options.deployment),
            seconds: Number(options.seconds),
            seed: Number(options.seed),
            json: options.json === true,
            stay: options.stay === true
        })));

program
    .command("caller-process", "Used by the other commands: sends the load")
    .action(serveCallerProcess);

program.parse(process.argv);
