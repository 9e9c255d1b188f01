import { Effect, Result } from "effect";
import { parse } from "jsonc-parser";
import { readFileSync } from "node:fs";
import { editConfiguration, validateCommand } from "./EditConfiguration";
import { callOperator, type OperatorClientOptions } from "./OperatorClient";
import { parseStatement } from "./ParseStatement";
import { formatTable, type Row, selectRows, type SystemState } from "./Rows";
import type { OperatorCommand, ShowQuery, Statement } from "./Statement";

/** Exit codes of `endivectl`, as listed in its help. */
export const exitCodes = { success: 0, unreachable: 1, invalidInput: 2, refused: 3 } as const;

/** Connection, output format and output functions that statements are run with. */
export interface RunOptions extends OperatorClientOptions {
    readonly author: string;
    readonly json: boolean;
    readonly dryRun: boolean;
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
}

type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

const watchIntervalMillis = 1_000;

function unreachable(options: RunOptions, reason: string): ExitCode {
    options.printError(`no response from ${options.address}: ${reason}`);
    return exitCodes.unreachable;
}

function printRows(options: RunOptions, rows: readonly Row[], unreachableInstances: readonly Row[]): void {
    if (options.json) {
        options.print(JSON.stringify({ rows, unreachable: unreachableInstances }));
        return;
    }
    options.print(formatTable(rows));
    if (unreachableInstances.length > 0) {
        options.print(`\nunreachable instances:\n${formatTable(unreachableInstances)}`);
    }
}

const sendRequest = (options: RunOptions, path: string, body?: unknown) =>
    Effect.runPromise(Effect.result(callOperator(options, path, body)));

async function runShow(options: RunOptions, query: ShowQuery): Promise<ExitCode> {
    const result = await sendRequest(options, "system");
    if (Result.isFailure(result)) {
        return unreachable(options, result.failure.reason);
    }
    if (result.success.status !== 200) {
        options.printError(JSON.stringify(result.success.value));
        return exitCodes.refused;
    }
    const system = result.success.value as SystemState;
    printRows(options, selectRows(system, query), system.unreachable);
    return exitCodes.success;
}

async function runExplain(options: RunOptions, client: string, service: string): Promise<ExitCode> {
    const query = new URLSearchParams({ client, service });
    const result = await sendRequest(options, `explain-lookup?${query}`);
    if (Result.isFailure(result)) {
        return unreachable(options, result.failure.reason);
    }
    const explanation = result.success.value as Row & {
        readonly chosen: readonly string[];
        readonly passedOver: readonly Row[];
    };
    if (options.json) {
        options.print(JSON.stringify(explanation));
        return exitCodes.success;
    }
    options.print(
        `${client} belongs to ${String(explanation.homeRegion)} and is steered to ${String(explanation.steeredTo)}`
    );
    options.print(`entry instances in order of preference: ${explanation.chosen.join(", ")}`);
    options.print(`entry instances not chosen:\n${formatTable(explanation.passedOver)}`);
    return exitCodes.success;
}

interface ConfigurationResponse {
    readonly version: number;
    readonly text: string;
}

interface CommandResponse {
    readonly outcome: string;
    readonly version?: number;
    readonly author?: string;
    readonly faults?: string;
    readonly detail?: string;
}

function printOutcome(options: RunOptions, answer: CommandResponse): ExitCode {
    if (options.json) {
        options.print(JSON.stringify(answer));
    }
    else if (answer.outcome === "accepted") {
        options.print(
            `accepted as version ${answer.version}; run "show configuration in force" to see which instances apply it`
        );
    }
    else if (answer.outcome === "valid") {
        options.print(`valid: would become version ${answer.version}; no changes made`);
    }
    else if (answer.outcome === "conflict") {
        options.printError(
            `conflict: ${answer.author} already committed version ${answer.version}; review it and retry`
        );
    }
    else {
        options.printError(`${answer.outcome}: ${answer.faults ?? answer.detail ?? ""}`);
    }
    return answer.outcome === "accepted" || answer.outcome === "valid" ? exitCodes.success : exitCodes.refused;
}

/** Prints, for each service, the demand that a drain shifts and the inflow caps of the regions that receive it. */
async function printDrainEstimate(options: RunOptions, text: string, region: string): Promise<void> {
    const result = await sendRequest(options, "system");
    if (Result.isFailure(result)) {
        return;
    }
    const { instances } = result.success.value as SystemState;
    const { regions } = parse(text) as RegionCaps;
    const services = [...new Set(instances.flatMap(instance => instance.services.map(service => service.service)))];
    for (const service of services) {
        const demandRequestsPerSecond = instances.flatMap(instance => instance.services)
            .filter(each => each.service === service)
            .reduce((sum, each) => sum + Number((each.requestsPerSecond as Row | undefined)?.[region] ?? 0), 0);
        const regionCaps = Object.entries(regions)
            .filter(([name]) => name !== region)
            .map(([, each]) => each.inflowCapRequestsPerSecond?.[service]);
        const cap = regionCaps.includes(undefined)
            ? undefined
            : regionCaps.reduce<number>((sum, each) => sum + (each ?? 0), 0);
        const assessment = cap === undefined
            ? "at least one receiving region has no inflow cap"
            : cap >= demandRequestsPerSecond
            ? `the inflow caps of the other regions allow ${cap} requests/s`
            : `the inflow caps of the other regions allow only ${cap} requests/s, so the drain will stop at ${
                Math.round((90 * cap) / demandRequestsPerSecond)
            }%`;
        options.printError(
            `${service}: callers of ${region} send ${demandRequestsPerSecond.toFixed(1)} requests/s; ${assessment}`
        );
    }
}

interface RegionCaps {
    readonly regions: Readonly<
        Record<string, { readonly inflowCapRequestsPerSecond?: Readonly<Record<string, number>>; }>
    >;
}

async function runCommand(options: RunOptions, command: OperatorCommand): Promise<ExitCode> {
    const currentConfiguration = await sendRequest(options, "configuration");
    if (Result.isFailure(currentConfiguration)) {
        return unreachable(options, currentConfiguration.failure.reason);
    }
    if (currentConfiguration.success.status !== 200) {
        options.printError(JSON.stringify(currentConfiguration.success.value));
        return exitCodes.refused;
    }
    const { version, text } = currentConfiguration.success.value as ConfigurationResponse;
    const fault = validateCommand(text, command);
    if (fault !== undefined) {
        options.printError(fault);
        return exitCodes.invalidInput;
    }
    if (command.kind === "drain") {
        await printDrainEstimate(options, text, command.region);
    }
    const nextText = command.kind === "accept"
        ? readFileSync(command.file, "utf8")
        : editConfiguration(text, command, Date.now());
    const body = { basedOnVersion: version, text: nextText, author: options.author, dryRun: options.dryRun };
    const result = await sendRequest(options, "command", body);
    return Result.isFailure(result)
        ? unreachable(
            options,
            `${result.failure.reason}; run "show configuration in force" to check whether the command took effect`
        )
        : printOutcome(options, result.success.value as CommandResponse);
}

/** Runs a parsed statement and returns the exit code; a watch statement repeats until a query fails. */
export async function runStatement(options: RunOptions, statement: Statement): Promise<ExitCode> {
    switch (statement.kind) {
        case "show":
            return runShow(options, statement);
        case "explainLookup":
            return runExplain(options, statement.client, statement.service);
        case "watch":
            for (;;) {
                const code = await runShow(options, statement.query);
                if (code !== exitCodes.success) {
                    return code;
                }
                await new Promise(resolve => setTimeout(resolve, watchIntervalMillis));
            }
        default:
            return runCommand(options, statement);
    }
}

/** Parses and runs one line of the statement language; returns the exit code. */
export async function runLine(options: RunOptions, line: string): Promise<ExitCode> {
    const parsed = parseStatement(line);
    if (parsed.isLeft()) {
        options.printError(String(parsed.extract()));
        return exitCodes.invalidInput;
    }
    return runStatement(options, parsed.unsafeCoerce());
}
