import { callOperator } from "@endivebridge/ctl";
import { Effect, Result } from "effect";
import { readFileSync, writeFileSync } from "node:fs";
import sade from "sade";
import packageFile from "../package.json";
import { readSteps, replay } from "./Replay";
import { readLog, renderTrace, traceRequest } from "./RequestTrace";
import { orderEvents, renderHtml, renderText, type TracedEvent } from "./TimeLine";

const exitUnreachable = 1;
const exitDiffers = 2;
const exitNotFound = 3;

interface EventsAnswer {
    readonly events: readonly TracedEvent[];
    readonly unreachable: readonly string[];
}

async function collect(address: string, key: string): Promise<EventsAnswer> {
    const result = await Effect.runPromise(
        Effect.result(callOperator({ address, key, timeoutMillis: 10_000 }, "events?after=0"))
    );
    if (Result.isFailure(result) || result.success.status !== 200) {
        console.error(
            `${address}: ${Result.isFailure(result) ? result.failure.reason : JSON.stringify(result.success.value)}`
        );
        process.exit(exitUnreachable);
    }
    return result.success.value as EventsAnswer;
}

function text(value: unknown): string | undefined {
    return typeof value === "string" ? value : undefined;
}

const program = sade("endivetrace").version(packageFile.version);

program
    .command("show", "Show the time line of events over all instances", { default: true })
    .option("--address", "host:port of any entry instance", process.env.ENDIVECTL_ADDRESS ?? "127.0.0.1:7080")
    .option("--key-file", "File with the operators' key; else ENDIVECTL_KEY")
    .option("--kind", "Only events of this kind")
    .option("--instance", "Only events of this instance")
    .option("--about", "Only events that mention this request, operation, server or peer")
    .option("--html", "Write one self-contained page to this file")
    .action(async (flags: Record<string, unknown>) => {
        const keyFile = text(flags["key-file"]);
        const key = keyFile === undefined ? process.env.ENDIVECTL_KEY ?? "" : readFileSync(keyFile, "utf8").trim();
        const found = await collect(String(flags.address), key);
        const events = orderEvents(found.events, {
            kind: text(flags.kind),
            instance: text(flags.instance),
            about: text(flags.about)
        });
        if (found.unreachable.length > 0) {
            console.error(`not reached: ${found.unreachable.join(", ")}`);
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
    .command("replay <file>", "Run recorded decisions through today's code; ends with 2 where an outcome differs")
    .option("--service", "Only steps of this service")
    .action((file: string, flags: Record<string, unknown>) => {
        const service = text(flags.service);
        const lines = readFileSync(file, "utf8").split("\n");
        const own = lines.filter(line => service === undefined || line.includes(`"service":"${service}"`));
        const outcome = replay(readSteps(own.join("\n")));
        console.log(JSON.stringify(outcome, undefined, 2));
        process.exit(outcome.differences.length === 0 ? 0 : exitDiffers);
    });

program
    .command("request <id> <file>", "Print a request's way over the instances whose log files are named, causes first")
    .example("request 9c41d07be2a35f68 entry-0.log entry-1.log")
    .action((id: string, file: string, flags: { readonly _: readonly string[]; }) => {
        const events = [file, ...flags._].flatMap(each => readLog(readFileSync(each, "utf8")));
        const lines = traceRequest(events, id);
        if (lines.length === 0) {
            console.error(`no line of the ${events.length} that were read names request ${id}`);
            process.exit(exitNotFound);
        }
        console.log(renderTrace(lines));
    });

program.parse(process.argv);
