import { describeFaults, type DocumentFault, parseSettings } from "@endivebridge/settings";
import { readFileSync } from "node:fs";
import sade from "sade";
import packageFile from "../package.json";
import { startDaemon } from "./Daemon";

const exitCodeFailure = 1;
const exitCodeInvalidSettings = 2;

function readSettingsFile(path: string): string {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        console.error(`${path}: ${(error as Error).message}`);
        process.exit(exitCodeInvalidSettings);
    }
}

async function run(path: string, checkOnly: boolean): Promise<void> {
    const parsed = parseSettings(readSettingsFile(path));
    if (parsed.isLeft()) {
        console.error(describeFaults(path, parsed.extract() as readonly DocumentFault[]));
        process.exit(exitCodeInvalidSettings);
    }
    if (checkOnly) {
        console.log(`${path}: settings are valid`);
        return;
    }
    const daemon = await startDaemon(parsed.unsafeCoerce());
    let isStopping = false;
    const stop = () => {
        if (!isStopping) {
            isStopping = true;
            daemon.shutDown().then(() => process.exit(0), () => process.exit(exitCodeFailure));
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

sade("endivebridged <settings>", true)
    .version(packageFile.version)
    .describe("Runs one entry instance. Exit codes: 0 graceful shutdown, 1 failure, 2 invalid settings.")
    .option("--check", "Check the settings file and exit")
    .action((path: string, options: { readonly check?: boolean; }) => {
        run(path, options.check === true).catch((error: unknown) => {
            console.error(error instanceof Error ? error.message : String(error));
            process.exit(exitCodeFailure);
        });
    })
    .parse(process.argv);
