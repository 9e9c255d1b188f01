import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { createInterface } from "node:readline";
import sade from "sade";
import packageFile from "../package.json";
import { exitCodes, runLine, type RunOptions } from "./RunStatement";

const words = [
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

function complete(line: string): [string[], string] {
    const found = words.filter(word => word.startsWith(line));
    return [found.length > 0 ? found : words, line];
}

/** Reads lines at a prompt, with history and completion, until its end. */
function runPrompt(options: RunOptions): void {
    const prompt = createInterface({
        input: process.stdin,
        output: process.stdout,
        prompt: "endivectl> ",
        completer: complete
    });
    prompt.prompt();
    prompt.on("line", line => {
        const done = line.trim() === "" ? Promise.resolve(exitCodes.done) : runLine(options, line);
        void done.then(() => prompt.prompt());
    });
}

async function runFile(options: RunOptions, path: string): Promise<number> {
    const lines = readFileSync(path, "utf8").split("\n").filter(line => line.trim() !== "" && !line.startsWith("#"));
    for (const line of lines) {
        const code = await runLine(options, line);
        if (code !== exitCodes.done) {
            return code;
        }
    }
    return exitCodes.done;
}

sade("endivectl [...statement]", true)
    .version(packageFile.version)
    .describe([
        "Asks what is happening and changes what happens next; without a statement it reads lines at a prompt.",
        "Exit codes: 0 done, 1 not reachable, 2 the statement is wrong, 3 refused."
    ])
    .option("--address", "host:port of any entry instance", process.env.ENDIVECTL_ADDRESS ?? "127.0.0.1:7080")
    .option("--key-file", "File with the operators' key; else ENDIVECTL_KEY")
    .option("--file", "Run the statements of a file, one a line")
    .option("--json", "Answers as JSON")
    .option("--dry-run", "Only say what a command would do")
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
