import type { Teardown } from "./MergeTeardowns";
import { tryConnect } from "./TryConnect";

/** Address that a probe connects to. */
export interface ProbeTarget {
    readonly host: string;
    readonly port: number;
}

/** Targets of the probes and the listener for their outcomes. */
export interface ConnectionProbeOptions<Target extends ProbeTarget> {
    /** Targets of the next round; none if there is nothing to find out. */
    readonly chooseTargets: () => readonly Target[];
    readonly onOutcome: (target: Target, isOpen: boolean) => void;
}

const probeIntervalMillis = 200;
/** Longer than a round trip to another region. */
const probeTimeoutMillis = 400;

/** Regularly opens a connection to each chosen target and closes it at once. */
export function registerConnectionProbes<Target extends ProbeTarget>(
    { chooseTargets, onOutcome }: ConnectionProbeOptions<Target>
): Teardown {
    const timer = setInterval(() => {
        for (const target of chooseTargets()) {
            void tryConnect(target.host, target.port, probeTimeoutMillis)
                .then(outcome => onOutcome(target, outcome === "open"));
        }
    }, probeIntervalMillis);
    return () => clearInterval(timer);
}
