import { makeClientBlocks } from "@endivebridge/core";
import { describeFaults, parseConfiguration } from "@endivebridge/settings";
import { monotonicMillis } from "@endivebridge/shared";
import { Effect } from "effect";
import type { Context } from "./Context";
import { runTaskIteration } from "./RunTaskIteration";

/** Returns the key of the row that stores one accepted version; such rows are inserted once and never updated. */
export function configurationKey(version: number): string {
    return `configuration/${String(version).padStart(10, "0")}`;
}

/**
 * Applies a configuration unless this instance already has this version or a later one. Returns whether it was applied;
 * a document that cannot be parsed is logged and ignored.
 */
export function applyConfiguration(context: Context, version: number, text: string, from: string): boolean {
    const current = context.configuration.read();
    if (version <= (current?.version ?? 0)) {
        return false;
    }
    const parsed = parseConfiguration(text);
    if (parsed.isLeft()) {
        const faults = describeFaults(configurationKey(version), parsed.extract() as never);
        context.log.error({ version, faults }, "accepted configuration is invalid; not applied");
        return false;
    }
    const document = parsed.unsafeCoerce();
    context.clientBlocks.current = makeClientBlocks(document.clientBlocks);
    context.configuration.update(() => ({ version, document, text, inForceSinceMillis: monotonicMillis() }));
    context.metrics.gauge("configuration_version", version);
    context.timeLine.emit({ kind: "configurationInForce", version, from });
    context.log.info({ version, from }, "configuration in force");
    return true;
}

/**
 * Reads the latest row, and writes the version in force again where a table that has returned from a copy has lost it.
 * Readers stop at the first missing version and operators edit the latest one, so that a lost version would block both.
 */
const reconcileWithLatestRow = (context: Context) =>
    Effect.gen(function*() {
        const rows = yield* context.platform.scanRows("configuration/");
        const latestRow = rows[rows.length - 1];
        const latestVersion = latestRow === undefined ? 0 : Number(latestRow.key.split("/")[1]);
        const inForce = context.configuration.read();
        if (inForce !== undefined && inForce.version > latestVersion) {
            const { version, text } = inForce;
            context.log.warn(
                { version, latestVersion },
                "the table has lost the configuration in force; written again"
            );
            yield* context.platform.writeRow(configurationKey(version), 0, {
                text,
                author: "restored by an instance",
                acceptedAtEpochMillis: Date.now(),
                previousVersion: latestVersion
            });
            return;
        }
        if (latestRow !== undefined) {
            applyConfiguration(context, latestVersion, configurationRowText(latestRow.value), "platform");
        }
    });

const applyNewerVersions = (context: Context) =>
    Effect.gen(function*() {
        for (let version = (context.configuration.read()?.version ?? 0) + 1;; version += 1) {
            const row = yield* context.platform.readRow(configurationKey(version));
            if (row === undefined) {
                return;
            }
            applyConfiguration(context, version, configurationRowText(row.value), "platform");
        }
    });

/** Returns the configuration document stored in the value of a configuration row. */
export function configurationRowText(value: unknown): string {
    return (value as { readonly text: string; }).text;
}

/** Polls the platform's table for newer accepted configurations until interrupted. */
export const configurationTask = (context: Context): Effect.Effect<never> =>
    Effect.gen(function*() {
        let reconciledEra: number | undefined;
        const update = Effect.gen(function*() {
            const { era } = context.platform;
            if (context.configuration.read() === undefined || reconciledEra !== era()) {
                yield* reconcileWithLatestRow(context);
                reconciledEra = era();
                return;
            }
            yield* applyNewerVersions(context);
        });
        for (;;) {
            yield* runTaskIteration(context, "configuration", update);
            yield* Effect.sleep(context.settings.timing.configurationMillis * (0.9 + Math.random() * 0.2));
        }
    });
