import type { PlatformFailure } from "@endivebridge/platform";
import { describeFaults, type DocumentFault, parseConfiguration } from "@endivebridge/settings";
import { Effect, Result, Schema } from "effect";
import { applyConfiguration, configurationKey, configurationRowText } from "./ConfigurationTask";
import type { Context } from "./Context";

/** Schema of the command that submits a new configuration version. */
export const AcceptConfiguration = Schema.Struct({
    /** Version that the operator edited; the command is refused if a newer version has been accepted since. */
    basedOnVersion: Schema.Int,
    text: Schema.String,
    author: Schema.String.check(Schema.isMinLength(1), Schema.isMaxLength(128)),
    dryRun: Schema.Boolean
});

/** Result of a configuration command, as returned to the operator. */
export type CommandOutcome =
    | { readonly outcome: "accepted"; readonly version: number; }
    | { readonly outcome: "valid"; readonly version: number; }
    | { readonly outcome: "invalid"; readonly faults: string; }
    | { readonly outcome: "conflict"; readonly version: number; readonly author: string; readonly text: string; }
    | { readonly outcome: "unavailable"; readonly detail: string; };

interface ConfigurationRow {
    readonly text: string;
    readonly author: string;
}

function describeWriteFailure(context: Context, version: number, failure: PlatformFailure): CommandOutcome {
    if (failure.kind === "conflict" && failure.row !== undefined) {
        const acceptedRow = failure.row.value as ConfigurationRow;
        applyConfiguration(context, version, configurationRowText(acceptedRow), "platform");
        return { outcome: "conflict", version, author: acceptedRow.author, text: acceptedRow.text };
    }
    return { outcome: "unavailable", detail: failure.kind === "conflict" ? "row vanished" : failure.detail };
}

/**
 * Configuration in force whose version is at least the given one although the table has no row of that version: the table
 * has returned from a copy. A new row would be confirmed and never applied by instances that have the lost version.
 */
const findLostVersion = (context: Context, version: number) =>
    Effect.gen(function*() {
        const inForce = context.configuration.read();
        if (inForce === undefined || inForce.version < version) {
            return undefined;
        }
        const row = yield* context.platform.readRow(configurationKey(version));
        return row === undefined ? inForce : undefined;
    });

/**
 * Validates a configuration and stores it as the version after the one that the operator edited. Of concurrent commands
 * based on the same version at most one succeeds.
 */
export const acceptConfiguration = (
    context: Context,
    command: typeof AcceptConfiguration.Type
): Effect.Effect<CommandOutcome> =>
    Effect.gen(function*() {
        const parsed = parseConfiguration(command.text);
        if (parsed.isLeft()) {
            const faults = describeFaults("configuration", parsed.extract() as readonly DocumentFault[]);
            return { outcome: "invalid", faults };
        }
        const version = command.basedOnVersion + 1;
        if (command.dryRun) {
            return { outcome: "valid", version };
        }
        // A version is inserted only if its predecessor exists, because readers fetch versions in sequence and stop at
        // the first missing one.
        const basedOnExists = command.basedOnVersion === 0
            ? Result.succeed(true)
            : yield* Effect.result(
                Effect.map(context.platform.readRow(configurationKey(command.basedOnVersion)), row => row !== undefined)
            );
        if (Result.isFailure(basedOnExists)) {
            return { outcome: "unavailable", detail: "the version before cannot be read" };
        }
        if (!basedOnExists.success) {
            return { outcome: "invalid", faults: `there is no version ${command.basedOnVersion}` };
        }
        const lostVersion = yield* Effect.result(findLostVersion(context, version));
        if (Result.isFailure(lostVersion)) {
            return { outcome: "unavailable", detail: "the version in force cannot be compared with the table" };
        }
        if (lostVersion.success !== undefined) {
            const { version: inForceVersion, text } = lostVersion.success;
            return { outcome: "conflict", version: inForceVersion, author: "unknown (lost by the table)", text };
        }
        const written = yield* Effect.result(context.platform.writeRow(configurationKey(version), 0, {
            text: command.text,
            author: command.author,
            acceptedAtEpochMillis: Date.now(),
            previousVersion: command.basedOnVersion
        }));
        if (Result.isFailure(written)) {
            return describeWriteFailure(context, version, written.failure);
        }
        applyConfiguration(context, version, command.text, "command");
        context.log.info({ version, author: command.author }, "configuration accepted");
        return { outcome: "accepted", version };
    });
