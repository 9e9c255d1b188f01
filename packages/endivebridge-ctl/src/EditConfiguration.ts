import { applyEdits, modify, parse } from "jsonc-parser";
import type { OperatorCommand } from "./Statement";

const modificationOptions = { formattingOptions: { insertSpaces: true, tabSize: 4 } };

interface PartialConfiguration {
    readonly regions?: Readonly<Record<string, unknown>>;
    readonly services?: Readonly<Record<string, unknown>>;
    readonly drains?: readonly { readonly region: string; }[];
}

function setValueAtPath(text: string, path: (string | number)[], value: unknown): string {
    return applyEdits(text, modify(text, path, value, modificationOptions));
}

/**
 * Returns why a command can't be applied to a configuration: an unknown region or service, a drain that already runs or one
 * that doesn't. Returns undefined when the command is valid.
 */
export function validateCommand(text: string, command: OperatorCommand): string | undefined {
    const document = parse(text) as PartialConfiguration;
    if ("region" in command && document.regions?.[command.region] === undefined) {
        return `region ${command.region} is not declared; declared regions: ${
            Object.keys(document.regions ?? {}).join(", ")
        }`;
    }
    if ("service" in command && document.services?.[command.service] === undefined) {
        return `service ${command.service} is not declared; declared services: ${
            Object.keys(document.services ?? {}).join(", ")
        }`;
    }
    const draining = document.drains?.some(drain => "region" in command && drain.region === command.region) ?? false;
    if (command.kind === "stopDrain" && !draining) {
        return `region ${command.region} is not being drained`;
    }
    if (command.kind === "drain" && draining) {
        return `region ${command.region} is already being drained; stop that drain first`;
    }
    return undefined;
}

/** Applies a command to the text of a configuration; comments and formatting outside the edited value are preserved. */
export function editConfiguration(
    text: string,
    command: Exclude<OperatorCommand, { kind: "accept"; }>,
    nowMillis: number
): string {
    const drains = (parse(text) as PartialConfiguration).drains ?? [];
    switch (command.kind) {
        case "drain": {
            const { region, sharePerMinute } = command;
            return setValueAtPath(text, ["drains"], [...drains, {
                region,
                sharePerMinute,
                startedAtEpochMillis: nowMillis
            }]);
        }
        case "stopDrain":
            return setValueAtPath(text, ["drains"], drains.filter(drain => drain.region !== command.region));
        case "cap":
            return setValueAtPath(
                text,
                ["regions", command.region, "inflowCapRequestsPerSecond", command.service],
                command.requestsPerSecond
            );
        case "uncap":
            return setValueAtPath(
                text,
                ["regions", command.region, "inflowCapRequestsPerSecond", command.service],
                undefined
            );
    }
}
