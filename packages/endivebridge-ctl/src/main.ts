import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { createInterface } from "node:readline";
import sade from "sade";
import packageFile from "../package.json";
import { exitCodes, runLine, type RunOptions } from "./RunStatement";

const completions = [
    "show instances",
    "show servers",
    "show services",
    "show peers",
    "show drains",
    "show shifts",
    "show configuration in force",
    "show operations in doubt",
    "show struck requests",
    "explain lookup",
    "watch show",
    "drain region",
    "stop drain region",
    "cap shift of",
    "uncap shift of",
    "accept"
];

function completeLine(line: string): [string[], string] {
    const matches = completions.filter(completion => completion.startsWith(line));
    return [matches.length > 0 ? matches : completions, line];
}

/** Runs an interactive prompt with history and completion until the input ends. */
function runPrompt(options: RunOptions): void {
    const prompt = createInterface({
        input: process.stdin,
        output: process.stdout,
        prompt: "endivectl> ",
        completer: completeLine
    });
    prompt.prompt();
    prompt.on("line", line => {
        const finished = line.trim() === "" ? Promise.resolve(exitCodes.success) : runLine(options, line);
        void finished.then(() => prompt.prompt());
    });
}

async function runFile(options: RunOptions, path: string): Promise<number> {
    const lines = readFileSync(path, "utf8").split("\n").filter(line => line.trim() !== "" && !line.startsWith("#"));
    for (const line of lines) {
        const code = await runLine(options, line);
        if (code !== exitCodes.success) {
            return code;
        }
    }
    return exitCodes.success;
}

sade("endivectl [...statement]", true)
    .version(packageFile.version)
    .describe([
        "Queries the state of the system and changes its configuration; without a statement it starts an interactive prompt.",
        "Exit codes: 0 success, 1 instance unreachable, 2 invalid statement, 3 command or query rejected."
    ])
    .option("--address", "host:port of any entry instance", process.env.ENDIVECTL_ADDRESS ?? "127.0.0.1:7080")
    .option("--key-file", "File that contains the operator key; defaults to ENDIVECTL_KEY")
    .option("--file", "Run the statements in a file, one per line")
    .option("--json", "Print results as JSON")
    .option("--dry-run", "Validate a command and print its effect without applying it")
    .example("show servers of circulation order by latencyMillis")
    .example("drain region kootenay at 5% per minute --dry-run")
    .action((first: string | undefined, flags: Record<string, unknown> & { readonly _: readonly string[]; }) => {
        const keyFile = flags["key-file"];
        const options: RunOptions = {
            address: String(flags.address),
            key: typeof keyFile === "string" ? readFileSync(keyFile, "utf8").trim() : process.env.ENDIVECTL_KEY ?? "",
            timeoutMillis: 10_000,
            author: userInfo().username,
            json: flags.json === true,
            dryRun: flags["dry-run"] === true,
            print: text => console.log(text),
            printError: text => console.error(text)
        };
        const line = [first, ...flags._].filter(word => word !== undefined).join(" ");
        if (typeof flags.file === "string") {
            void runFile(options, flags.file).then(code => process.exit(code));
        }
        else if (line === "") {
            runPrompt(options);
        }
        else {
            void runLine(options, line).then(code => process.exit(code));
        }
    })
    .parse(process.argv);
