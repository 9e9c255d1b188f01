/** Whether this instance reaches the backend servers of each service, as its new connections show. */
export interface ServiceReachability {
    /** Records a new connection to a server, or that none could be opened; true if this changes the state. */
    readonly recordConnection: (service: string, server: string, isOpen: boolean) => boolean;
    /** Whether this instance has lost its links to the servers of the service. */
    readonly isCutOff: (service: string) => boolean;
    readonly cutOffServices: () => readonly string[];
    /** Forgets a service that has no servers any more. */
    readonly forget: (service: string) => void;
}

/** Servers that fail one after the other, with no success between, until a service counts as cut off. */
const minFailedServers = 3;
/** Servers that accept connections again until the service counts as reachable; a single one may be the exception. */
const minReachedServers = 2;

interface ServiceState {
    isCutOff: boolean;
    /** Servers with the outcome that would change the state, since the last other outcome. */
    readonly contrary: Set<string>;
}

/**
 * Creates the state of an instance that reaches all services. Only new connections count: in a half-open partition the
 * old ones live on. `serverCount` tells how many servers a service has, as small services have fewer than the limits.
 */
export function makeServiceReachability(serverCount: (service: string) => number): ServiceReachability {
    const states = new Map<string, ServiceState>();

    return {
        recordConnection: (service, server, isOpen) => {
            let state = states.get(service);
            if (state === undefined) {
                state = { isCutOff: false, contrary: new Set() };
                states.set(service, state);
            }
            if (isOpen !== state.isCutOff) {
                state.contrary.clear();
                return false;
            }
            state.contrary.add(server);
            const limit = state.isCutOff ? minReachedServers : minFailedServers;
            if (state.contrary.size < Math.min(limit, Math.max(1, serverCount(service)))) {
                return false;
            }
            state.isCutOff = !state.isCutOff;
            state.contrary.clear();
            return true;
        },
        isCutOff: service => states.get(service)?.isCutOff === true,
        cutOffServices: () => [...states].filter(([, state]) => state.isCutOff).map(([service]) => service),
        forget: service => void states.delete(service)
    };
}
