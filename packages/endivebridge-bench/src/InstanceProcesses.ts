import { range } from "@endivebridge/shared";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { allFailureDomains, type Deployment } from "./Deployment";
import { findFreePorts } from "./FindFreePorts";
import { programPath } from "./Programs";
import type { TestbedLinks } from "./TestbedLinks";

/** One entry instance of a testbed and its `endivebridged` process, undefined until the first start. */
export interface InstanceProcess {
    readonly instance: string;
    readonly domain: string;
    readonly region: string;
    readonly callerAddress: string;
    readonly peerAddress: string;
    process: ChildProcess | undefined;
    listedState: "live" | "leaving" | "absent";
}

/** Starts, stops and queries the entry instances of a testbed. */
export interface InstanceControl {
    /** Starts a process without waiting until it is ready. */
    readonly launch: (instance: InstanceProcess) => void;
    /** Waits until an instance has usable slots of every service; rejects after 20 seconds. */
    readonly awaitReady: (instance: InstanceProcess) => Promise<void>;
    readonly startInstance: (instance: InstanceProcess) => Promise<void>;
    /** Sends a signal to one process; resolves with its exit code after it exits, undefined if a signal ended it. */
    readonly stopInstance: (instance: InstanceProcess, signal: NodeJS.Signals) => Promise<number | undefined>;
    readonly queryOperatorApi: (instance: InstanceProcess, path: string) => Promise<unknown>;
    /** Sends an operator's command to an instance. */
    readonly command: (instance: InstanceProcess, command: unknown) => Promise<unknown>;
    /** Kills all processes and deletes their files; ENDIVEBENCH_KEEP_LOGS keeps the files. */
    readonly close: () => Promise<void>;
}

/** Overrides of the settings of every instance, and the arguments of its Node.js. */
export interface InstanceOptions {
    readonly timing?: Readonly<Record<string, number>>;
    readonly limits?: Readonly<Record<string, number>>;
    readonly nodeArguments?: readonly string[];
}

/** Bearer key that authorizes operators in every testbed. */
export const operatorKey = "operator-key-of-the-bench";
/** Key with which the instances of every testbed authenticate to each other. */
export const peerKey = "peer-key-of-the-bench-world";
const readyTimeoutMillis = 20_000;

/** Assigns names and ports to the instances of a deployment without starting them. */
export async function planInstances(deployment: Deployment): Promise<readonly InstanceProcess[]> {
    const identities = allFailureDomains(deployment).flatMap(each =>
        range(deployment.instancesPerDomain).map(index => ({
            ...each,
            instance: `${each.domain}-${String.fromCharCode(97 + index)}`
        }))
    );
    const ports = await findFreePorts(identities.length * 2);
    return identities.map((each, index) => ({
        ...each,
        callerAddress: `127.0.0.1:${ports[index * 2]}`,
        peerAddress: `127.0.0.1:${ports[index * 2 + 1]}`,
        process: undefined,
        listedState: "live"
    }));
}

function makeInstanceSettings(
    instance: InstanceProcess,
    instances: readonly InstanceProcess[],
    links: TestbedLinks,
    { timing = {}, limits = {} }: InstanceOptions
) {
    const listener = (address: string) => ({ host: "127.0.0.1", port: Number(address.split(":")[1]) });
    return {
        instance: instance.instance,
        failureDomain: instance.domain,
        region: instance.region,
        callers: listener(instance.callerAddress),
        peers: listener(instance.peerAddress),
        platform: { url: `http://127.0.0.1:${links.platformLinks.get(instance.domain)!.port}`, timeoutMillis: 1_000 },
        keys: { operator: operatorKey, peer: peerKey },
        seedPeers: instances.filter(each => each.instance !== instance.instance).map(each => ({
            instance: each.instance,
            failureDomain: each.domain,
            region: each.region,
            callerAddress: each.callerAddress,
            peerAddress: links.views[instance.domain]?.[each.peerAddress] ?? each.peerAddress
        })),
        recordDecisions: process.env.ENDIVEBENCH_RECORD !== undefined,
        timing,
        limits
    };
}

async function call(instance: InstanceProcess, path: string, body?: unknown): Promise<unknown> {
    const answer = await fetch(`http://${instance.callerAddress}/.endivebridge/${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${operatorKey}` },
        body: body === undefined ? undefined : JSON.stringify(body)
    });
    return answer.json();
}

async function hasSlotsOfEveryService(instance: InstanceProcess): Promise<boolean> {
    const state = await call(instance, "operator/instance") as {
        readonly services: readonly { readonly servers: readonly { readonly usableSlots: number; }[]; }[];
    };
    return state.services.length > 0
        && state.services.every(service => service.servers.some(server => server.usableSlots > 0));
}

function stop(instance: InstanceProcess, signal: NodeJS.Signals): Promise<number | undefined> {
    return new Promise(resolve => {
        const child = instance.process;
        if (child === undefined || (child.exitCode ?? child.signalCode ?? undefined) !== undefined) {
            resolve(child?.exitCode ?? undefined);
            return;
        }
        child.once("exit", code => resolve(code ?? undefined));
        child.kill(signal);
    });
}

/** Creates the control of the instances; their settings and logs are in a temporary folder. */
export function makeInstanceControl(
    instances: readonly InstanceProcess[],
    links: TestbedLinks,
    options: InstanceOptions
): InstanceControl {
    const scratchFolder = mkdtempSync(join(tmpdir(), "endivebridge-"));
    // Kills the instances on every exit of this process, so that none is left running.
    process.once("exit", () => instances.forEach(each => each.process?.kill("SIGKILL")));
    const logPath = (instance: InstanceProcess) => join(scratchFolder, `${instance.instance}.log`);

    const launch = (instance: InstanceProcess) => {
        const settingsPath = join(scratchFolder, `${instance.instance}.jsonc`);
        writeFileSync(settingsPath, JSON.stringify(makeInstanceSettings(instance, instances, links, options)));
        const log = openSync(logPath(instance), "a");
        const nodeArguments = options.nodeArguments ?? process.env.ENDIVEBENCH_NODE_ARGUMENTS?.split(" ") ?? [];
        instance.process = spawn(process.execPath, [...nodeArguments, programPath("endivebridged"), settingsPath], {
            stdio: ["ignore", log, log]
        });
    };

    const awaitReady = async (instance: InstanceProcess): Promise<void> => {
        const untilMillis = performance.now() + readyTimeoutMillis;
        while (performance.now() < untilMillis) {
            if (await hasSlotsOfEveryService(instance).catch(() => false)) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        const log = readFileSync(logPath(instance), "utf8").slice(-2_000);
        throw new Error(`instance ${instance.instance} did not become ready; end of its log: ${log}`);
    };

    const close = async () => {
        await Promise.all(instances.map(each => stop(each, "SIGKILL")));
        if (process.env.ENDIVEBENCH_KEEP_LOGS === undefined) {
            rmSync(scratchFolder, { recursive: true, force: true });
        }
        else {
            console.log(`logs are kept in ${scratchFolder}`);
        }
    };

    return {
        launch,
        awaitReady,
        startInstance: async instance => {
            launch(instance);
            await awaitReady(instance);
        },
        stopInstance: stop,
        queryOperatorApi: call,
        command: (instance, command) => call(instance, "operator/command", command),
        close
    };
}
