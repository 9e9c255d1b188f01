import { callOperator } from "@endivebridge/ctl";
import { Effect, Result } from "effect";
import { readFileSync, writeFileSync } from "node:fs";
import sade from "sade";
import packageFile from "../package.json";
import { parseDecisionSteps, replaySteps } from "./Replay";
import { parseLog, renderTrace, traceRequest } from "./RequestTrace";
import { filterAndSortEvents, renderHtml, renderText, type TracedEvent } from "./TimeLine";

const unreachableExitCode = 1;
const differencesExitCode = 2;
const notFoundExitCode = 3;

interface EventsResponse {
    readonly events: readonly TracedEvent[];
    readonly unreachable: readonly string[];
}

async function fetchEvents(address: string, key: string): Promise<EventsResponse> {
    const result = await Effect.runPromise(
        Effect.result(callOperator({ address, key, timeoutMillis: 10_000 }, "events?after=0"))
    );
    if (Result.isFailure(result) || result.success.status !== 200) {
        console.error(
            `${address}: ${Result.isFailure(result) ? result.failure.reason : JSON.stringify(result.success.value)}`
        );
        process.exit(unreachableExitCode);
    }
    return result.success.value as EventsResponse;
}

function text(value: unknown): string | undefined {
    return typeof value === "string" ? value : undefined;
}

const program = sade("endivetrace").version(packageFile.version);

program
    .command("show", "Show the event timeline of all instances", { default: true })
    .option("--address", "host:port of any entry instance", process.env.ENDIVECTL_ADDRESS ?? "127.0.0.1:7080")
    .option("--key-file", "File that contains the operator key; defaults to ENDIVECTL_KEY")
    .option("--kind", "Only events of this kind")
    .option("--instance", "Only events of this instance")
    .option(
        "--about",
        "Only events with a field that contains this text, such as a request, operation, server or peer id"
    )
    .option("--html", "Write a self-contained HTML page to this file")
    .action(async (flags: Record<string, unknown>) => {
        const keyFile = text(flags["key-file"]);
        const key = keyFile === undefined ? process.env.ENDIVECTL_KEY ?? "" : readFileSync(keyFile, "utf8").trim();
        const response = await fetchEvents(String(flags.address), key);
        const events = filterAndSortEvents(response.events, {
            kind: text(flags.kind),
            instance: text(flags.instance),
            containing: text(flags.about)
        });
        if (response.unreachable.length > 0) {
            console.error(`unreachable instances: ${response.unreachable.join(", ")}`);
        }
        const file = text(flags.html);
        if (file === undefined) {
            console.log(renderText(events));
        }
        else {
            writeFileSync(file, renderHtml(events));
        }
    });

program
    .command("replay <file>", "Replay recorded decisions with the current code; exits with 2 if any decision differs")
    .option("--service", "Only steps of this service")
    .action((file: string, flags: Record<string, unknown>) => {
        const service = text(flags.service);
        const lines = readFileSync(file, "utf8").split("\n");
        const serviceLines = lines.filter(line => service === undefined || line.includes(`"service":"${service}"`));
        const outcome = replaySteps(parseDecisionSteps(serviceLines.join("\n")));
        console.log(JSON.stringify(outcome, undefined, 2));
        process.exit(outcome.differences.length === 0 ? 0 : differencesExitCode);
    });

program
    .command("request <id> <file>", "Trace a request through the given log files of entry instances, in order of time")
    .example("request 9c41d07be2a35f68 entry-0.log entry-1.log")
    .action((id: string, file: string, flags: { readonly _: readonly string[]; }) => {
        const events = [file, ...flags._].flatMap(each => parseLog(readFileSync(each, "utf8")));
        const lines = traceRequest(events, id);
        if (lines.length === 0) {
            console.error(`none of the ${events.length} log events read names request ${id}`);
            process.exit(notFoundExitCode);
        }
        console.log(renderTrace(lines));
    });

program.parse(process.argv);
