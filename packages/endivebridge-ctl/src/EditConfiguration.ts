import { applyEdits, modify, parse } from "jsonc-parser";
import type { OperatorCommand } from "./Statement";

const formatting = { formattingOptions: { insertSpaces: true, tabSize: 4 } };

interface LooseConfiguration {
    readonly regions?: Readonly<Record<string, unknown>>;
    readonly services?: Readonly<Record<string, unknown>>;
    readonly drains?: readonly { readonly region: string; }[];
}

function change(text: string, path: (string | number)[], value: unknown): string {
    return applyEdits(text, modify(text, path, value, formatting));
}

/** Says why a command does not fit a configuration; undefined where it does. */
export function commandFault(text: string, command: OperatorCommand): string | undefined {
    const document = parse(text) as LooseConfiguration;
    if ("region" in command && document.regions?.[command.region] === undefined) {
        return `there is no region ${command.region}; regions: ${Object.keys(document.regions ?? {}).join(", ")}`;
    }
    if ("service" in command && document.services?.[command.service] === undefined) {
        return `there is no service ${command.service}; services: ${Object.keys(document.services ?? {}).join(", ")}`;
    }
    const draining = document.drains?.some(drain => "region" in command && drain.region === command.region) ?? false;
    if (command.kind === "stopDrain" && !draining) {
        return `region ${command.region} is not being drained`;
    }
    if (command.kind === "drain" && draining) {
        return `region ${command.region} is being drained already; stop that drain first`;
    }
    return undefined;
}

/** The configuration as a command would have it; comments and layout of the rest stay. */
export function editConfiguration(
    text: string,
    command: Exclude<OperatorCommand, { kind: "accept"; }>,
    nowMillis: number
): string {
    const drains = (parse(text) as LooseConfiguration).drains ?? [];
    switch (command.kind) {
        case "drain": {
            const { region, sharePerMinute } = command;
            return change(text, ["drains"], [...drains, { region, sharePerMinute, startedAtEpochMillis: nowMillis }]);
        }
        case "stopDrain":
            return change(text, ["drains"], drains.filter(drain => drain.region !== command.region));
        case "cap":
            return change(
                text,
                ["regions", command.region, "inflowCapRequestsPerSecond", command.service],
                command.requestsPerSecond
            );
        case "uncap":
            return change(text, ["regions", command.region, "inflowCapRequestsPerSecond", command.service], undefined);
    }
}
