import { Effect, Result } from "effect";
import { parse } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { commandFault, editConfiguration } from "./EditConfiguration";
import { callOperator, type OperatorClientOptions } from "./OperatorClient";
import { parseStatement } from "./ParseStatement";
import { formatTable, type Row, selectRows, type SystemAnswer } from "./Rows";
import type { OperatorCommand, ShowQuery, Statement } from "./Statement";

/** Exit codes of `endivectl`. */
export const exitCodes = { done: 0, unreachable: 1, wrongInput: 2, refused: 3 } as const;

/** How statements are run. */
export interface RunOptions extends OperatorClientOptions {
    readonly author: string;
    readonly json: boolean;
    readonly dryRun: boolean;
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
}

type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const watchMillis = 1_000;

function unreachable(options: RunOptions, reason: string): ExitCode {
    options.printError(`${options.address} did not answer: ${reason}`);
    return exitCodes.unreachable;
}

function printRows(options: RunOptions, rows: readonly Row[], missing: readonly Row[]): void {
    if (options.json) {
        options.print(JSON.stringify({ rows, unreachable: missing }));
        return;
    }
    options.print(formatTable(rows));
    if (missing.length > 0) {
        options.print(`\nnot reached:\n${formatTable(missing)}`);
    }
}

const ask = (options: RunOptions, path: string, body?: unknown) =>
    Effect.runPromise(Effect.result(callOperator(options, path, body)));

async function runShow(options: RunOptions, query: ShowQuery): Promise<ExitCode> {
    const result = await ask(options, "system");
    if (Result.isFailure(result)) {
        return unreachable(options, result.failure.reason);
    }
    if (result.success.status !== 200) {
        options.printError(JSON.stringify(result.success.value));
        return exitCodes.refused;
    }
    const system = result.success.value as SystemAnswer;
    printRows(options, selectRows(system, query), system.unreachable);
    return exitCodes.done;
}

async function runExplain(options: RunOptions, client: string, service: string): Promise<ExitCode> {
    const query = new URLSearchParams({ client, service });
    const result = await ask(options, `explain-lookup?${query}`);
    if (Result.isFailure(result)) {
        return unreachable(options, result.failure.reason);
    }
    const found = result.success.value as Row & {
        readonly chosen: readonly string[];
        readonly passedOver: readonly Row[];
    };
    if (options.json) {
        options.print(JSON.stringify(found));
        return exitCodes.done;
    }
    options.print(`${client} belongs to ${String(found.homeRegion)}, is steered to ${String(found.steeredTo)}`);
    options.print(`uses, in order: ${found.chosen.join(", ")}`);
    options.print(`passed over:\n${formatTable(found.passedOver)}`);
    return exitCodes.done;
}

interface ConfigurationAnswer {
    readonly version: number;
    readonly text: string;
}

interface CommandAnswer {
    readonly outcome: string;
    readonly version?: number;
    readonly author?: string;
    readonly faults?: string;
    readonly detail?: string;
}

function tellOutcome(options: RunOptions, answer: CommandAnswer): ExitCode {
    if (options.json) {
        options.print(JSON.stringify(answer));
    }
    else if (answer.outcome === "accepted") {
        options.print(`accepted as version ${answer.version}; show configuration in force tells where it is in force`);
    }
    else if (answer.outcome === "valid") {
        options.print(`would become version ${answer.version}; nothing was changed`);
    }
    else if (answer.outcome === "conflict") {
        options.printError(`${answer.author} was first: version ${answer.version} is theirs; look at it and try again`);
    }
    else {
        options.printError(`${answer.outcome}: ${answer.faults ?? answer.detail ?? ""}`);
    }
    return answer.outcome === "accepted" || answer.outcome === "valid" ? exitCodes.done : exitCodes.refused;
}

/** Tells what a drain would meet: the callers' demand against the caps of the regions that take them. */
async function describeDrainEffect(options: RunOptions, text: string, region: string): Promise<void> {
    const result = await ask(options, "system");
    if (Result.isFailure(result)) {
        return;
    }
    const { instances } = result.success.value as SystemAnswer;
    const { regions } = parse(text) as LooseRegions;
    const services = [...new Set(instances.flatMap(instance => instance.services.map(service => service.service)))];
    for (const service of services) {
        const demand = instances.flatMap(instance => instance.services)
            .filter(each => each.service === service)
            .reduce((sum, each) => sum + Number((each.requestsPerSecond as Row | undefined)?.[region] ?? 0), 0);
        const caps = Object.entries(regions)
            .filter(([name]) => name !== region)
            .map(([, each]) => each.inflowCapRequestsPerSecond?.[service]);
        const cap = caps.includes(undefined) ? undefined : caps.reduce<number>((sum, each) => sum + (each ?? 0), 0);
        const verdict = cap === undefined
            ? "no cap holds it"
            : cap >= demand
            ? `the caps let in ${cap} a second`
            : `the caps let in only ${cap} a second: the drain will stop at ${Math.round((90 * cap) / demand)}%`;
        options.printError(`${service}: callers of ${region} send ${demand.toFixed(1)} requests a second; ${verdict}`);
    }
}

interface LooseRegions {
    readonly regions: Readonly<
        Record<string, { readonly inflowCapRequestsPerSecond?: Readonly<Record<string, number>>; }>
    >;
}

async function runCommand(options: RunOptions, command: OperatorCommand): Promise<ExitCode> {
    const current = await ask(options, "configuration");
    if (Result.isFailure(current)) {
        return unreachable(options, current.failure.reason);
    }
    if (current.success.status !== 200) {
        options.printError(JSON.stringify(current.success.value));
        return exitCodes.refused;
    }
    const { version, text } = current.success.value as ConfigurationAnswer;
    const fault = commandFault(text, command);
    if (fault !== undefined) {
        options.printError(fault);
        return exitCodes.wrongInput;
    }
    if (command.kind === "drain") {
        await describeDrainEffect(options, text, command.region);
    }
    const next = command.kind === "accept"
        ? readFileSync(command.file, "utf8")
        : editConfiguration(text, command, Date.now());
    const body = { basedOnVersion: version, text: next, author: options.author, dryRun: options.dryRun };
    const result = await ask(options, "command", body);
    return Result.isFailure(result)
        ? unreachable(options, `${result.failure.reason}; show configuration in force tells whether it took effect`)
        : tellOutcome(options, result.success.value as CommandAnswer);
}

/** Runs one parsed statement; gives the exit code. */
export async function runStatement(options: RunOptions, statement: Statement): Promise<ExitCode> {
    switch (statement.kind) {
        case "show":
            return runShow(options, statement);
        case "explainLookup":
            return runExplain(options, statement.client, statement.service);
        case "watch":
            for (;;) {
                const code = await runShow(options, statement.query);
                if (code !== exitCodes.done) {
                    return code;
                }
                await new Promise(resolve => setTimeout(resolve, watchMillis));
            }
        default:
            return runCommand(options, statement);
    }
}

/** Runs one line of the operators' language. */
export async function runLine(options: RunOptions, line: string): Promise<ExitCode> {
    const parsed = parseStatement(line);
    if (parsed.isLeft()) {
        options.printError(String(parsed.extract()));
        return exitCodes.wrongInput;
    }
    return runStatement(options, parsed.unsafeCoerce());
}
